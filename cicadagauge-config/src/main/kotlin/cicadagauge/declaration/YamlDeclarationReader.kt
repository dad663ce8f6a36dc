/*
 * Parses the YAML form of a declaration, described in docs/CONFIGURATION.md. JSON is accepted too, as a subset of YAML.
 */
package cicadagauge.declaration

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import cicadagauge.identity.Address
import cicadagauge.identity.AvailabilityZone
import cicadagauge.identity.CustomerName
import cicadagauge.identity.KeyHash
import cicadagauge.identity.PoolName
import cicadagauge.identity.RouteName
import cicadagauge.identity.UpstreamId
import cicadagauge.routing.PathPattern
import org.yaml.snakeyaml.LoaderOptions
import org.yaml.snakeyaml.Yaml
import org.yaml.snakeyaml.error.MarkedYAMLException
import org.yaml.snakeyaml.error.YAMLException
import org.yaml.snakeyaml.nodes.Node
import kotlin.time.Duration.Companion.milliseconds

/** Parses declarations written in YAML or JSON. */
public class YamlDeclarationReader : DeclarationReader {
    override fun read(text: String): Either<NonEmptyList<Problem>, Declaration> {
        val problems = Problems()
        val declaration = compose(text, problems)?.let { DeclarationParser(problems).declaration(it) }
        val found = problems.all.toNonEmptyListOrNull()
        return if (found == null && declaration != null) {
            declaration.right()
        } else {
            orEmptyDeclarationProblem(found).left()
        }
    }

    private fun orEmptyDeclarationProblem(found: NonEmptyList<Problem>?): NonEmptyList<Problem> =
        found ?: NonEmptyList(Problem(1, 1, "the declaration is empty"), emptyList())

    private fun compose(text: String, problems: Problems): Node? {
        val options = LoaderOptions().apply {
            maxAliasesForCollections = MAX_ALIASES
            codePointLimit = MAX_CODE_POINTS
        }
        try {
            return Yaml(options).compose(text.reader())
        } catch (e: MarkedYAMLException) {
            problems.add(e.problemMark, e.problem ?: "invalid YAML")
        } catch (e: YAMLException) {
            problems.add(null, e.message ?: "invalid YAML")
        }
        return null
    }

    private companion object {
        const val MAX_ALIASES = 50
        const val MAX_CODE_POINTS = 1_000_000
    }
}

/** Parses one declaration and checks the names in it for duplicates and missing declarations. */
private class DeclarationParser(private val problems: Problems) {
    private val zones = LinkedHashSet<AvailabilityZone>()
    private val pools = LinkedHashMap<PoolName, Pool>()
    private val upstreams = LinkedHashSet<UpstreamId>()
    private val upstreamByAddress = HashMap<Address, UpstreamId>()

    fun declaration(root: Node): Declaration? {
        val fields = Fields.of(root, problems) ?: return null
        fields.texts("zones").forEach { (node, name) ->
            checkUnique(node, "availability zone", name, zones.add(AvailabilityZone(name)))
        }
        val entryVms = fields.int("entryVms", DeclarationDefaults.ENTRY_VM_RANGE, DeclarationDefaults.ENTRY_VMS)
        fields.items("pools").forEach(::pool)
        val routes = RouteParser(problems, pools).routes(fields.items("routes"))
        val customers = CustomerParser(problems).customers(fields.items("customers", required = false))
        val zonesOut = fields.texts("zonesOut", required = false)
            .mapNotNull { (node, name) -> findDeclared(node, "availability zone", name, AvailabilityZone(name), zones) }
        val upstreamsOut = fields.texts("upstreamsOut", required = false)
            .mapNotNull { (node, name) -> findDeclared(node, "upstream", name, UpstreamId(name), upstreams) }
        val requiresCustomerKey =
            fields.boolean("requiresCustomerKey", DeclarationDefaults.REQUIRES_CUSTOMER_KEY)
        fields.reportUnknownFields()
        return Declaration(
            zones = zones,
            pools = pools.values.toList(),
            routes = routes,
            customers = customers,
            entryVms = entryVms ?: DeclarationDefaults.ENTRY_VMS,
            zonesOut = zonesOut.toSet(),
            upstreamsOut = upstreamsOut.toSet(),
            requiresCustomerKey = requiresCustomerKey,
        )
    }

    private fun pool(node: Node) {
        val fields = Fields.of(node, problems) ?: return
        val name = name(fields, problems)
        val pool = Pool(
            name = PoolName(name.orEmpty()),
            keyed = fields.boolean("keyed", DeclarationDefaults.KEYED),
            slots =
            fields.int("slots", DeclarationDefaults.SLOT_RANGE, DeclarationDefaults.SLOTS)
                ?: DeclarationDefaults.SLOTS,
            fenced = fields.boolean("fenced", DeclarationDefaults.FENCED),
            concurrency =
            fields.int("concurrency", DeclarationDefaults.CONCURRENCY_RANGE, DeclarationDefaults.CONCURRENCY)
                ?: DeclarationDefaults.CONCURRENCY,
            connections =
            fields.int("connections", DeclarationDefaults.CONNECTION_RANGE, DeclarationDefaults.CONNECTIONS)
                ?: DeclarationDefaults.CONNECTIONS,
            upstreams = fields.items("upstreams").mapNotNull(::upstream),
        )
        if (pool.upstreams.isEmpty()) problems.add(fields.nodeOf("upstreams"), "a pool needs at least one upstream")
        if (pool.keyed && !pool.fenced) problems.add(fields.nodeOf("fenced"), UNFENCED_KEYED_POOL)
        if (name != null) checkUnique(fields.nodeOf("name"), "pool", name, pools.put(pool.name, pool) == null)
        fields.reportUnknownFields()
    }

    private fun upstream(node: Node): Upstream? {
        val fields = Fields.of(node, problems) ?: return null
        val id = fields.text("id")
        val address = fields.text("address")?.let { address(fields.nodeOf("address"), it) }
        val zone = fields.text("zone")
        fields.reportUnknownFields()
        if (id != null) checkUnique(fields.nodeOf("id"), "upstream", id, upstreams.add(UpstreamId(id)))
        if (zone != null) findDeclared(fields.nodeOf("zone"), "availability zone", zone, AvailabilityZone(zone), zones)
        if (id == null || address == null || zone == null) return null
        val other = upstreamByAddress.put(address, UpstreamId(id))
        if (other != null) {
            problems.add(fields.nodeOf("address"), "address $address is already used by upstream '$other'")
        }
        return Upstream(UpstreamId(id), address, AvailabilityZone(zone))
    }

    private fun address(node: Node, text: String): Address? {
        val address = Address.parse(text, PORT_RANGE)
        if (address == null) {
            problems.add(
                node,
                "'address' must be host:port, with a port from ${PORT_RANGE.first} to ${PORT_RANGE.last}",
            )
        }
        return address
    }

    private fun checkUnique(node: Node, kind: String, name: String, isNew: Boolean) {
        if (!isNew) problems.add(node, "$kind '$name' is declared twice")
    }

    private fun <T> findDeclared(node: Node, kind: String, name: String, value: T, all: Set<T>): T? {
        if (value in all) return value
        problems.add(node, "$kind '$name' is not declared")
        return null
    }

    private companion object {
        val PORT_RANGE = 1..65_535
        const val UNFENCED_KEYED_POOL = "a keyed pool with 'fenced: false' is not supported yet"
    }
}

private class RouteParser(private val problems: Problems, private val pools: Map<PoolName, Pool>) {
    private val names = HashSet<RouteName>()
    private val routeByMethodAndShape = HashMap<String, RouteName>()

    fun routes(nodes: List<Node>): List<Route> = nodes.mapNotNull(::route)

    private fun route(node: Node): Route? {
        val fields = Fields.of(node, problems) ?: return null
        val name = name(fields, problems)?.let(::RouteName)
        val path = fields.text("path")
        val methods = fields.texts("methods").map { it.second }.toSet()
        val pool = fields.text("pool")?.let(::PoolName)
        val key = fields.mapping("key")?.let { key(it, path) }
        val deadline = fields.int("deadlineMillis", DeclarationDefaults.DEADLINE_MILLIS_RANGE, DEFAULT_DEADLINE_MILLIS)
        val route = Route(
            name = name ?: RouteName(""),
            path = path.orEmpty(),
            methods = methods,
            pool = pool ?: PoolName(""),
            key = key,
            requestClass = requestClass(fields),
            idempotent = fields.boolean("idempotent", false),
            deadline = (deadline ?: DEFAULT_DEADLINE_MILLIS).milliseconds,
            open = fields.boolean("open", false),
        )
        fields.reportUnknownFields()
        check(fields, route)
        return route.takeIf { name != null && path != null && pool != null }
    }

    private fun check(fields: Fields, route: Route) {
        if (!names.add(route.name)) problems.add(fields.nodeOf("name"), "route '${route.name}' is declared twice")
        val badMethod = route.methods.firstOrNull { it !in METHODS }
        if (badMethod !=
            null
        ) {
            problems.add(fields.nodeOf("methods"), "method '$badMethod' is not one of ${METHODS.joinToString()}")
        }
        if (route.methods.isEmpty()) problems.add(fields.nodeOf("methods"), "a route needs at least one method")
        checkPath(fields, route)
        val pool = pools[route.pool]
        when {
            pool == null -> problems.add(fields.nodeOf("pool"), "pool '${route.pool}' is not declared")
            pool.keyed && route.key == null -> problems.add(
                fields.node,
                "pool '${pool.name}' is keyed, so the route needs a 'key'",
            )
            !pool.keyed && route.key != null -> problems.add(fields.nodeOf("key"), "pool '${pool.name}' is not keyed")
        }
    }

    private fun checkPath(fields: Fields, route: Route) {
        val shape = PathPattern.parse(route.path)?.shape
        if (shape == null) {
            problems.add(fields.nodeOf("path"), "'path' must look like /fixed/{name} or /fixed/**")
            return
        }
        for (method in route.methods) {
            val other = routeByMethodAndShape.putIfAbsent("$method $shape", route.name)
            if (other != null) {
                problems.add(fields.nodeOf("path"), "route '$other' already matches this path with method $method")
            }
        }
    }

    private fun key(fields: Fields, path: String?): KeySource? {
        val from = fields.text("from")
        val name = fields.text("name")
        fields.reportUnknownFields()
        if (from == null || name == null) return null
        return when (from) {
            "header" -> KeySource.Header(name.lowercase())
            "query" -> KeySource.QueryParameter(name)
            "path" -> {
                val isPathVariable = path != null && name in PathPattern.parse(path)?.variables.orEmpty()
                if (!isPathVariable) problems.add(fields.nodeOf("name"), "the path has no segment '{$name}'")
                KeySource.PathSegment(name)
            }
            else -> {
                problems.add(fields.nodeOf("from"), "'from' must be path, header or query")
                null
            }
        }
    }

    private fun requestClass(fields: Fields): RequestClass {
        val text = fields.optionalText("class") ?: return RequestClass.Normal
        val found = RequestClass.entries.firstOrNull { it.name.lowercase() == text }
        val allowed = RequestClass.entries.joinToString { it.name.lowercase() }
        if (found == null) problems.add(fields.nodeOf("class"), "'class' must be one of $allowed")
        return found ?: RequestClass.Normal
    }

    private companion object {
        val METHODS = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
        val DEFAULT_DEADLINE_MILLIS = DeclarationDefaults.DEADLINE.inWholeMilliseconds.toInt()
    }
}

private class CustomerParser(private val problems: Problems) {
    private val names = HashSet<CustomerName>()
    private val customerByKeyHash = HashMap<KeyHash, CustomerName>()

    fun customers(nodes: List<Node>): List<Customer> = nodes.mapNotNull(::customer)

    private fun customer(node: Node): Customer? {
        val fields = Fields.of(node, problems) ?: return null
        val name = name(fields, problems)?.let(::CustomerName)
        val rate = fields.decimal("ratePerSecond", DeclarationDefaults.MAX_RATE_PER_SECOND)
        val burst = fields.int("burst", DeclarationDefaults.BURST_RANGE, default = null)
        val hashes = fields.texts("keyHashes", required = false)
        fields.reportUnknownFields()
        if (name == null || rate == null || burst == null) return null
        if (!names.add(name)) problems.add(fields.nodeOf("name"), "customer '$name' is declared twice")
        hashes.forEach { (item, text) -> checkHash(item, text, name) }
        return Customer(name, rate, burst, hashes.map { KeyHash(it.second) }.toSet())
    }

    private fun checkHash(node: Node, text: String, customer: CustomerName) {
        if (!KEY_HASH_PATTERN.matches(text)) {
            return problems.add(node, "a key hash is 64 lower-case hexadecimal digits (SHA-256)")
        }
        val other = customerByKeyHash.put(KeyHash(text), customer)
        if (other != null) problems.add(node, "this key hash already belongs to customer '$other'")
    }

    private companion object {
        val KEY_HASH_PATTERN = Regex("[0-9a-f]{64}")
    }
}

private val NAME_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

/** The field `name` of [fields], limited to characters that are safe in store keys, metric labels and paths. */
private fun name(fields: Fields, problems: Problems): String? {
    val name = fields.text("name") ?: return null
    if (NAME_PATTERN.matches(name)) return name
    problems.add(
        fields.nodeOf("name"),
        "'name' must be 1 to 63 letters, digits, '.', '_' or '-', and start with a letter or digit",
    )
    return null
}
