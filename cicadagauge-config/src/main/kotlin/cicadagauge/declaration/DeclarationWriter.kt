/*
 * Writes declarations as YAML. Operators' commands that change one part of the accepted declaration, such as taking an
 * availability zone out of service, use this to rewrite the whole declaration.
 */
package cicadagauge.declaration

import com.fasterxml.jackson.annotation.JsonInclude
import com.fasterxml.jackson.databind.SerializationFeature
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper
import com.fasterxml.jackson.module.kotlin.kotlinModule

/** Writes declarations in the YAML form that [YamlDeclarationReader] reads. */
public object DeclarationWriter {
    private val mapper = YAMLMapper.builder(YAMLFactory().disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER))
        .addModule(kotlinModule())
        .defaultPropertyInclusion(
            JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL),
        )
        .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
        .build()

    /** Returns [declaration] as YAML. */
    public fun write(declaration: Declaration): String = mapper.writeValueAsString(
        DeclarationYaml(
            zones = declaration.zones.map { it.value },
            entryVms = declaration.entryVms,
            pools = declaration.pools.map(::pool),
            routes = declaration.routes.map(::route),
            customers = declaration.customers.map(::customer),
            zonesOut = declaration.zonesOut.map { it.value },
            upstreamsOut = declaration.upstreamsOut.map { it.value },
            requiresCustomerKey = declaration.requiresCustomerKey,
        ),
    )

    private fun pool(pool: Pool) = PoolYaml(
        name = pool.name.value,
        keyed = pool.keyed,
        slots = pool.slots,
        fenced = pool.fenced,
        concurrency = pool.concurrency,
        connections = pool.connections,
        upstreams = pool.upstreams.map { UpstreamYaml(it.id.value, it.address.toString(), it.zone.value) },
    )

    private fun route(route: Route) = RouteYaml(
        name = route.name.value,
        path = route.path,
        methods = route.methods.toList(),
        pool = route.pool.value,
        key = route.key?.let(::key),
        `class` = route.requestClass.name.lowercase(),
        idempotent = route.idempotent,
        deadlineMillis = route.deadline.inWholeMilliseconds,
        open = route.open,
    )

    private fun key(key: KeySource) = when (key) {
        is KeySource.Header -> KeyYaml("header", key.name)
        is KeySource.PathSegment -> KeyYaml("path", key.name)
        is KeySource.QueryParameter -> KeyYaml("query", key.name)
    }

    private fun customer(customer: Customer) =
        CustomerYaml(customer.name.value, customer.ratePerSecond, customer.burst, customer.keyHashes.map { it.value })

    private data class DeclarationYaml(
        val zones: List<String>,
        val entryVms: Int,
        val pools: List<PoolYaml>,
        val routes: List<RouteYaml>,
        val customers: List<CustomerYaml>,
        val zonesOut: List<String>,
        val upstreamsOut: List<String>,
        val requiresCustomerKey: Boolean,
    )

    private data class PoolYaml(
        val name: String,
        val keyed: Boolean,
        val slots: Int,
        val fenced: Boolean,
        val concurrency: Int,
        val connections: Int,
        val upstreams: List<UpstreamYaml>,
    )

    private data class UpstreamYaml(val id: String, val address: String, val zone: String)

    private data class RouteYaml(
        val name: String,
        val path: String,
        val methods: List<String>,
        val pool: String,
        val key: KeyYaml?,
        val `class`: String,
        val idempotent: Boolean,
        val deadlineMillis: Long,
        val open: Boolean,
    )

    private data class KeyYaml(val from: String, val name: String)

    private data class CustomerYaml(
        val name: String,
        val ratePerSecond: Double,
        val burst: Int,
        val keyHashes: List<String>,
    )
}
