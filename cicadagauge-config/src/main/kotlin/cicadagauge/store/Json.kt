package cicadagauge.store

import cicadagauge.identity.Incarnation
import cicadagauge.identity.Moment
import cicadagauge.identity.PoolName
import cicadagauge.identity.Term
import cicadagauge.identity.UpstreamId
import cicadagauge.ownership.GrantOrder
import cicadagauge.ownership.GrantReport
import cicadagauge.ownership.LeaseHolder
import cicadagauge.ownership.SlotSet
import com.fasterxml.jackson.annotation.JsonTypeInfo
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.databind.DeserializationContext
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.SerializerProvider
import com.fasterxml.jackson.databind.deser.std.StdDeserializer
import com.fasterxml.jackson.databind.module.SimpleModule
import com.fasterxml.jackson.databind.ser.std.StdSerializer
import com.fasterxml.jackson.module.kotlin.KotlinFeature
import com.fasterxml.jackson.module.kotlin.jacksonMapperBuilder
import java.time.Duration

/** Jackson's object mappers: [treeMapper] for JSON read field by field, [mapper] for JSON that maps to classes. */
public object Json {
    /** Reads and writes trees of JSON nodes, without reflection. */
    public val treeMapper: ObjectMapper = ObjectMapper()

    /**
     * Maps the router's classes, except those that [MessageJson] handles. Creating it takes about a second in a process
     * that has just started.
     */
    public val mapper: ObjectMapper by lazy(::createMapper)

    private fun createMapper(): ObjectMapper = jacksonMapperBuilder { enable(KotlinFeature.UseJavaDurationConversion) }
        .addModule(valueModule())
        .addMixIn(GrantOrder::class.java, TypeNameMixIn::class.java)
        .addMixIn(StoreCall::class.java, TypeNameMixIn::class.java)
        .addMixIn(StoreReply::class.java, TypeNameMixIn::class.java)
        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .build()
        .apply { registerSubtypes(subtypes()) }

    /**
     * Writes and reads one message of each kind to initialize [mapper]. The first use of a kind takes tens of
     * milliseconds, which a process should spend before it answers calls whose callers have timeouts.
     */
    public fun warmUp() {
        val pool = PoolName("p")
        val claim = GrantOrder.Claim(pool, UpstreamId("u"), Term.NONE)
        val report = LeaseHolder(pool, claim.upstream, Incarnation("i")).handle(claim, Moment.ZERO)
        roundTrip(GrantOrder::class.java, claim)
        roundTrip(GrantReport::class.java, report)
        roundTrip(StoreCall::class.java, StoreCall.Get(StoreKeys.DECLARATION))
        roundTrip(StoreReply::class.java, StoreReply.LeaseLapsed)
    }

    private fun <T> roundTrip(type: Class<T>, value: T) {
        mapper.readValue(mapper.writerFor(type).writeValueAsBytes(value), type)
    }

    private fun subtypes(): List<Class<*>> = listOf(GrantOrder::class, StoreCall::class, StoreReply::class)
        .flatMap { it.java.declaredClasses.toList() }

    private fun valueModule(): SimpleModule = SimpleModule()
        .addSerializer(SlotSet::class.java, SlotSetSerializer())
        .addDeserializer(SlotSet::class.java, SlotSetDeserializer())
        .addSerializer(Duration::class.java, DurationSerializer())
        .addDeserializer(Duration::class.java, DurationDeserializer())

    /** Adds the class's simple name as property `type`, which selects the subclass when a message is read. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
    private interface TypeNameMixIn

    private class SlotSetSerializer : StdSerializer<SlotSet>(SlotSet::class.java) {
        override fun serialize(value: SlotSet, generator: JsonGenerator, provider: SerializerProvider) {
            generator.writeBinary(value.toByteArray())
        }
    }

    private class SlotSetDeserializer : StdDeserializer<SlotSet>(SlotSet::class.java) {
        override fun deserialize(parser: JsonParser, context: DeserializationContext): SlotSet =
            SlotSet.of(parser.binaryValue)
    }

    private class DurationSerializer : StdSerializer<Duration>(Duration::class.java) {
        override fun serialize(value: Duration, generator: JsonGenerator, provider: SerializerProvider) {
            generator.writeNumber(value.toNanos())
        }
    }

    private class DurationDeserializer : StdDeserializer<Duration>(Duration::class.java) {
        override fun deserialize(parser: JsonParser, context: DeserializationContext): Duration =
            Duration.ofNanos(parser.longValue)
    }
}
