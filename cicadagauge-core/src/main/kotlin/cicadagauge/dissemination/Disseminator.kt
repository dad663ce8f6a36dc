/*
 * Disseminates declarations and ownership records to all VMs. Updates travel along the edges of a tree, in both
 * directions, so that each VM sends a bounded number of messages wherever an update originates. Each availability zone
 * has a tree of its own, and only the roots of these send to each other. Lost updates are repaired by anti-entropy:
 * each VM compares versions with one other VM at a time, in turn. The same comparison passes on registered upstreams
 * and zones out of service, for VMs that can't read them from the store, and which requests crash upstreams.
 */
package cicadagauge.dissemination

import cicadagauge.configuration.DeclarationHolder
import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.membership.Vm
import cicadagauge.membership.VmDirectory
import cicadagauge.node.DisseminationSettings
import cicadagauge.node.Timers
import cicadagauge.ownership.OwnershipRecord
import cicadagauge.peer.CrashSuspicion
import cicadagauge.peer.PeerMessage
import cicadagauge.peer.PrefixDigest
import cicadagauge.peer.RecordDigest
import cicadagauge.quarantine.RequestQuarantine
import cicadagauge.routing.OwnerDirectory
import cicadagauge.store.SharedEntries
import cicadagauge.store.StoreClient

/** Exchanges declarations, ownership records and shared store entries with the other VMs. */
internal class Disseminator(
    private val vms: VmDirectory,
    private val declarations: DeclarationHolder,
    private val owners: OwnerDirectory,
    private val store: StoreClient,
    private val sharedEntries: List<SharedEntries>,
    private val quarantine: RequestQuarantine,
    private val settings: DisseminationSettings,
    private val timers: Timers,
) {
    private var partnerIndex = 0

    /** Starts the periodic anti-entropy exchange. */
    fun start(now: Moment) {
        nextAntiEntropyPeer()?.let { vms.send(it, digest(now)) }
        timers.at(now + settings.antiEntropyInterval, ::start)
    }

    /** Sends the declaration in force to the neighbours in the tree, except [source], from which it came. */
    fun propagateDeclaration(source: VmId?) {
        val update = declarations.updateMessage() ?: return
        neighbours().filter { it.id != source }.forEach { vms.send(it, update) }
    }

    /** Tells the neighbours in the tree the era of the store. */
    fun propagateEra(): Unit = neighbours().filter { it.id != vms.self }.forEach {
        vms.send(it, PeerMessage.NewEra(store.era))
    }

    /** Sends [record] to the neighbours in the tree, except [source], from which it came. */
    fun propagateRecord(record: OwnershipRecord, source: VmId?) {
        neighbours().filter { it.id != source }.forEach { vms.send(it, PeerMessage.RecordUpdate(record)) }
    }

    /**
     * Sends [suspicion] to the neighbours in the tree, except [source], from which it came. The VM that it comes from
     * sends it to every VM of a small fleet, since a lost one in the tree would delay it until the next comparison.
     */
    fun propagateSuspicion(suspicion: CrashSuspicion, source: VmId?) {
        val receivers = if (source == null && vms.peers.size <= settings.fanOut) vms.peers else neighbours()
        val update = PeerMessage.QuarantineUpdate(listOf(suspicion))
        receivers.filter { it.id != source && it.id != vms.self }.forEach { vms.send(it, update) }
    }

    /** Answers a digest: sends [from] what it lacks, and this VM's digest where [from] has anything newer. */
    fun handleDigest(from: VmId, digest: PeerMessage.Digest, now: Moment) {
        val vm = vms.vm(from) ?: return
        if (digest.declaration < declarations.version) declarations.updateMessage()?.let { vms.send(vm, it) }
        val remote = digest.records.associateBy { it.pool }
        val local = owners.digest().associateBy { it.pool }
        owners.records()
            .filter { isNewer(local.getValue(it.pool), remote[it.pool]) }
            .forEach { vms.send(vm, PeerMessage.RecordUpdate(it)) }
        if (digest.quarantine != quarantine.digest(now)) {
            val suspicions = quarantine.suspicions(now)
            if (suspicions.isNotEmpty()) vms.send(vm, PeerMessage.QuarantineUpdate(suspicions))
        }
        val lacksEntries = compareEntries(vm, digest.prefixes)
        val lacksRecords = remote.values.any { isNewer(it, local[it.pool]) }
        if (lacksEntries || lacksRecords || digest.declaration > declarations.version) vms.send(vm, digest(now))
    }

    /** Sends [vm] the store entries that it lacks, and returns whether this VM lacks any itself. */
    private fun compareEntries(vm: Vm, digests: List<PrefixDigest>): Boolean {
        val remote = digests.associate { it.prefix to it.position }
        sharedEntries.forEach { entries ->
            remote[entries.prefix]?.let(entries::since)?.let { vms.send(vm, it) }
        }
        return sharedEntries.any { entries -> remote[entries.prefix]?.let { it > entries.latest } ?: false }
    }

    private fun digest(now: Moment) = PeerMessage.Digest(
        declaration = declarations.version,
        records = owners.digest(),
        prefixes = sharedEntries.map { it.digest },
        quarantine = quarantine.digest(now),
        era = store.era,
    )

    private fun isNewer(one: RecordDigest, other: RecordDigest?): Boolean =
        other == null || one.term > other.term || (one.term == other.term && one.version > other.version)

    /**
     * This VM's parent and children in its zone's tree, with [DisseminationSettings.fanOut] children per VM, and for
     * its root those of the other zones; all listed VMs where this one is not listed, since it has no position in the
     * tree.
     */
    private fun neighbours(): List<Vm> {
        val ranked = vms.ranked(TREE)
        val zoneVms = ranked.filter { it.zone == vms.zone }
        val position = zoneVms.indexOfFirst { it.id == vms.self }
        if (position < 0) return vms.all
        val firstChild = position * settings.fanOut + 1
        val children = (firstChild until firstChild + settings.fanOut).mapNotNull { zoneVms.getOrNull(it) }
        if (position > 0) return children + zoneVms[(position - 1) / settings.fanOut]
        return children + ranked.filter { it.zone != vms.zone }.distinctBy { it.zone }
    }

    private fun nextAntiEntropyPeer(): Vm? {
        val peers = vms.peers
        if (peers.isEmpty()) return null
        partnerIndex++
        return peers[(partnerIndex + vms.self.hashCode().mod(peers.size)) % peers.size]
    }

    private companion object {
        const val TREE = "tree"
    }
}
