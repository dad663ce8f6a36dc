package cicadagauge.membership

import cicadagauge.identity.Moment
import cicadagauge.identity.VmId
import cicadagauge.node.Timers
import cicadagauge.ownership.ProcessLease
import cicadagauge.store.StoreCall
import cicadagauge.store.StoreClient
import cicadagauge.store.StoreEntry
import cicadagauge.store.StoreKey
import cicadagauge.store.StoreKeys
import cicadagauge.store.StoreReply
import cicadagauge.store.StoreRevision
import cicadagauge.store.VmCodec
import kotlin.time.Duration

/**
 * Keeps [self] registered in the store, under this process's [lease], and collects the registrations of the other VMs,
 * for platforms that keep no list of VMs themselves. [onListed] is called with the list whenever it changes, and
 * every [retryDelay] while the store answers and the registrations are current.
 */
internal class VmRegistration(
    private val self: Vm,
    private val codec: VmCodec,
    private val store: StoreClient,
    private val lease: ProcessLease,
    private val timers: Timers,
    private val retryDelay: Duration,
    private val isCurrent: (Moment) -> Boolean,
    private val onListed: (List<Vm>, Moment) -> Unit,
) {
    private val vms = LinkedHashMap<VmId, Vm>()
    private val key = keyOf(self.id)
    private var isCallPending = false
    private var isStopped = false
    private var revision = StoreRevision.ABSENT

    // Whether a registration that is in the store already may belong to another lease than this VM's.
    private var mustRewrite = false

    /** Starts the registration of this VM. */
    fun start(now: Moment) {
        vms[self.id] = self
        lease.onLapse(::register)
        lease.acquire(now)
        register(now)
        repeatList(now)
    }

    /** Applies a changed registration of any VM; a null value removes it. */
    fun registrationChanged(entry: StoreEntry, now: Moment) {
        val id = VmId(entry.key.value.removePrefix(StoreKeys.VMS))
        val text = entry.value
        if (text == null) remove(id, now) else codec.decode(text).onRight { add(id, it, now) }
    }

    /** Registers this VM again, because the store is in another era. */
    fun eraChanged(now: Moment) {
        revision = StoreRevision.ABSENT
        mustRewrite = true
        register(now)
    }

    /** Deletes this VM's registration from the store. */
    fun stop() {
        isStopped = true
        if (revision != StoreRevision.ABSENT) store.call(StoreCall.Delete(key, revision)) { _, _ -> }
    }

    private fun add(id: VmId, vm: Vm, now: Moment) {
        if (id != vm.id || vms.put(id, vm) == vm) return
        reportList(now)
    }

    private fun remove(id: VmId, now: Moment) {
        if (id == self.id) return register(now)
        if (vms.remove(id) != null) reportList(now)
    }

    /** Repeats the list while the store answers: only a recent list shows that a VM missing from it has stopped. */
    private fun repeatList(now: Moment) {
        if (store.lastAnswerAt + retryDelay * 2 >= now && isCurrent(now)) reportList(now)
        timers.at(now + retryDelay, ::repeatList)
    }

    private fun reportList(now: Moment): Unit = onListed(vms.values.toList(), now)

    private fun register(now: Moment) {
        if (isCallPending || isStopped) return
        if (lease.id == null) return timers.at(now + retryDelay, ::register)
        write(expect = StoreRevision.ABSENT)
    }

    private fun write(expect: StoreRevision) {
        isCallPending = true
        store.call(StoreCall.Put(key, codec.encode(self), expect, lease.id)) { reply, moment ->
            isCallPending = false
            registered(reply, moment)
        }
    }

    private fun registered(reply: StoreReply, now: Moment) {
        when (reply) {
            is StoreReply.Written -> {
                revision = reply.revision
                mustRewrite = false
                reportList(now)
            }
            is StoreReply.Conflict -> if (mustRewrite) write(expect = reply.current.revision) else reportList(now)
            else -> timers.at(now + retryDelay, ::register)
        }
    }

    private companion object {
        fun keyOf(vm: VmId) = StoreKey(StoreKeys.VMS + vm)
    }
}
