package cicadagauge.store

import arrow.core.right
import cicadagauge.declaration.RequestClass
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.BodyDigest
import cicadagauge.identity.CustomerName
import cicadagauge.identity.DeclarationVersion
import cicadagauge.identity.HeadDigest
import cicadagauge.identity.Incarnation
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.RecordVersion
import cicadagauge.identity.RequestFingerprint
import cicadagauge.identity.RequestId
import cicadagauge.identity.Slot
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.identity.VmId
import cicadagauge.outcome.Reason
import cicadagauge.outcome.Refusal
import cicadagauge.ownership.GrantContent
import cicadagauge.ownership.GrantOrder
import cicadagauge.ownership.GrantPhase
import cicadagauge.ownership.GrantReport
import cicadagauge.ownership.GrantStep
import cicadagauge.ownership.HeatBucket
import cicadagauge.ownership.Member
import cicadagauge.ownership.OwnershipRecord
import cicadagauge.ownership.SlotException
import cicadagauge.ownership.SlotSet
import cicadagauge.ownership.UpstreamTime
import cicadagauge.peer.CrashRecord
import cicadagauge.peer.CrashSuspicion
import cicadagauge.peer.PeerMessage
import cicadagauge.peer.PermitResult
import cicadagauge.peer.PrefixDigest
import cicadagauge.peer.RecordDigest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun positionAt(revision: Long) = StorePosition(StoreEra(2), StoreRevision(revision))

class JsonTest :
    FunSpec({
        val pool = PoolName("catalogue")
        val slots = SlotSet.of(300) { it.index % 3 == 0 }
        val record = OwnershipRecord(
            pool = pool,
            term = Term(3),
            version = RecordVersion(7),
            allocator = VmId("vm-1"),
            slots = 300,
            members = listOf(Member(UpstreamId("a")), Member(UpstreamId("b"), share = 25)),
            exceptions = listOf(SlotException(Slot(4), UpstreamId("b"))),
            predecessors = setOf(VmId("vm-0")),
        )
        val deleted = StoreEntry(StoreKey("a/b"), null, StoreRevision(6))
        val step = GrantStep(Term(3), RecordVersion(7), GrantPhase.Shrink)

        test("every peer message is unchanged after writing and reading it") {
            val messages = listOf(
                PeerMessage.DeclarationUpdate(DeclarationVersion(4), "text"),
                PeerMessage.RecordUpdate(record),
                PeerMessage.Digest(DeclarationVersion(4), listOf(RecordDigest(pool, Term(3), RecordVersion(7)))),
                PeerMessage.EntriesChanged("a/", positionAt(4), positionAt(6), listOf(deleted)),
                PeerMessage.StoreNews(DeclarationVersion(4), listOf(PrefixDigest("a/", StoreRevision(6))), 1.seconds),
                PeerMessage.StoreNewsQuery(DeclarationVersion(4), listOf(PrefixDigest("a/", StoreRevision(6)))),
                PeerMessage.BudgetRequest(CustomerName("t"), 5, Moment(12), 2.seconds, 3),
                PeerMessage.BudgetRequest(CustomerName("t"), 5, null, 2.seconds, 3),
                PeerMessage.WaiverRenewal(listOf("t", "u").map(::CustomerName), 5, listOf(0, 4), null, 2.seconds),
                PeerMessage.WaiverReply(listOf(CustomerName("t")), 5, listOf(0), Moment(12), released = true),
                PeerMessage.WaiverReply(emptyList(), 5, emptyList(), Moment(12), settling = listOf(CustomerName("t"))),
                PeerMessage.BudgetReply(CustomerName("t"), 5, Moment(12), 3),
                PeerMessage.BudgetReply(CustomerName("t"), 5, Moment(12), 0, released = true, settling = true),
                PeerMessage.Reserve(
                    pool,
                    RequestId(9),
                    Slot(2),
                    RequestClass.Urgent,
                    CustomerName("t"),
                    1.5.seconds,
                    AvailabilityZone("a"),
                    true,
                ),
                PeerMessage.Reserve(
                    pool,
                    RequestId(9),
                    null,
                    RequestClass.Urgent,
                    CustomerName("t"),
                    1.5.seconds,
                    null,
                    false,
                ),
                PeerMessage.Reserved(pool, RequestId(9), UpstreamId("a")),
                PeerMessage.Denied(pool, RequestId(9), Refusal(Reason.Overloaded, "full", 20.milliseconds)),
                PeerMessage.Denied(pool, RequestId(9), Refusal(Reason.Overloaded, "full")),
                PeerMessage.Release(pool, RequestId(9), PermitResult.Served, 7.milliseconds),
                PeerMessage.Heat(pool, listOf(HeatBucket(3, 5)), listOf(UpstreamTime(UpstreamId("u"), 0.06.seconds))),
                PeerMessage.Holding(pool, setOf(RequestId(9))),
                PeerMessage.QuarantineUpdate(
                    listOf(
                        CrashSuspicion(
                            RequestFingerprint(CustomerName("t"), HeadDigest(-5), BodyDigest(7)),
                            CrashRecord(generation = 1, crashes = 2),
                            remaining = 9.seconds,
                        ),
                    ),
                ),
                PeerMessage.Ping,
                PeerMessage.Pong,
                PeerMessage.NewEra(StoreEra(3)),
                PeerMessage.UpstreamsReached(reached = false, sequence = 4),
                PeerMessage.Leaving,
                PeerMessage.OutageQuery(pool, Term(3), 8),
                PeerMessage.OutagePromise(pool, Term(3), 8),
                PeerMessage.Yield(pool, Term(3)),
                PeerMessage.Yielded(pool, Term(3)),
                PeerMessage.TermRaised(pool, Term(3)),
                PeerMessage.TermNoted(pool, Term(3), 300.milliseconds),
                PeerMessage.EntriesUpdate(
                    prefix = "upstreams/",
                    upTo = StoreRevision(9),
                    entries = listOf(StoreEntry(StoreKey("upstreams/u"), "text", StoreRevision(8))),
                    keys = listOf(StoreKey("upstreams/u")),
                ),
            )
            for (message in messages) {
                MessageJson.read(MessageJson.write(listOf(message))) shouldBe
                    listOf(message).right()
            }
            val missing = PeerMessage::class.sealedSubclasses - messages.map { it::class }.toSet()
            missing shouldBe emptyList()
        }

        test("malformed messages are an error and unknown fields are ignored") {
            MessageJson.read("[{\"type\":\"Ping\",\"later\":1}]".toByteArray()) shouldBe
                listOf<PeerMessage>(PeerMessage.Ping).right()
            for (text in listOf("", "{", "[1]", "[{\"type\":\"Unheard\"}]", "[{\"type\":\"Yield\",\"term\":\"x\"}]")) {
                MessageJson.read(text.toByteArray()).isLeft() shouldBe true
            }
        }

        test("grant orders and reports are unchanged after writing and reading them") {
            val lease = GrantOrder.Lease(
                pool = pool,
                upstream = UpstreamId("a"),
                term = Term(3),
                incarnation = Incarnation("run-1"),
                step = step,
                content = GrantContent(slots, record.members),
                expiresAt = Moment(99),
            )
            for (order in listOf(lease, lease.copy(content = null), GrantOrder.Claim(pool, UpstreamId("a"), Term(3)))) {
                Json.mapper.readValue(Json.mapper.writeValueAsString(order), GrantOrder::class.java) shouldBe order
            }
            val report = GrantReport(
                pool = pool,
                upstream = UpstreamId("a"),
                incarnation = Incarnation("run-1"),
                reading = Moment(7),
                accepted = true,
                term = Term(3),
                step = step,
                slots = slots,
                leaseValid = true,
                members = record.members,
            )
            Json.mapper.readValue(Json.mapper.writeValueAsString(report), GrantReport::class.java) shouldBe report
        }

        test("store calls and replies are unchanged after writing and reading them") {
            val entry = StoreEntry(StoreKey("k"), "v", StoreRevision(3))
            val calls = listOf(
                StoreCall.Get(StoreKey("k")),
                StoreCall.Put(StoreKey("k"), "v", StoreRevision(2), StoreLeaseId(1)),
                StoreCall.Put(StoreKey("k"), "v", StoreRevision(2)),
                StoreCall.Delete(StoreKey("k"), StoreRevision(2)),
                StoreCall.Watch("", StoreRevision(2), 10.seconds),
                StoreCall.CreateLease(1.seconds),
                StoreCall.RenewLease(StoreLeaseId(1)),
            )
            for (call in calls) {
                Json.mapper.readValue(Json.mapper.writeValueAsString(call), StoreCall::class.java) shouldBe call
            }
            val replies = listOf(
                StoreReply.Found(entry),
                StoreReply.Found(entry.copy(value = null)),
                StoreReply.Written(StoreRevision(3)),
                StoreReply.Conflict(entry),
                StoreReply.Changes(listOf(entry), StoreRevision(3)),
                StoreReply.LeaseHeld(StoreLeaseId(1)),
                StoreReply.LeaseLapsed,
            )
            for (reply in replies) {
                Json.mapper.readValue(Json.mapper.writeValueAsString(reply), StoreReply::class.java) shouldBe reply
            }
        }

        test("records are unchanged after writing and reading them, and malformed ones are rejected") {
            val codec = JsonRecordCodec()
            codec.decode(codec.encode(record)).getOrNull() shouldBe record
            codec.decode("{").isLeft() shouldBe true
        }
    })
