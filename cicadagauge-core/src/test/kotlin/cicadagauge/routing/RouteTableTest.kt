package cicadagauge.routing

import cicadagauge.declaration.Declaration
import cicadagauge.declaration.KeySource
import cicadagauge.declaration.Pool
import cicadagauge.declaration.Route
import cicadagauge.identity.PoolName
import cicadagauge.identity.RouteName
import cicadagauge.node.RequestHead
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration

private class Head(
    override val path: String,
    override val query: String? = null,
    val headers: Map<String, String> = emptyMap(),
) : RequestHead {
    override val method = "GET"
    override val deadline: Duration? = null

    override fun header(name: String): String? = headers[name]
}

class RouteTableTest :
    FunSpec({
        val pool = Pool(PoolName("pool"), upstreams = emptyList())

        fun route(
            name: String,
            path: String,
            key: KeySource = KeySource.Header("k"),
            methods: Set<String> = setOf("GET"),
        ) = Route(RouteName(name), path, methods, pool.name, key)

        fun table(vararg routes: Route) =
            RouteTable(Declaration(emptySet(), listOf(pool), routes.toList(), emptyList()))

        fun RouteMatch.name() = (this as? RouteMatch.Found)?.route?.name?.value

        test("a literal segment takes precedence over a variable one, and a variable one over `**`") {
            val routes = table(
                route("literal", "/clubs/all"),
                route("variable", "/clubs/{club}"),
                route("deep", "/clubs/{club}/clocks"),
                route("rest", "/clubs/**"),
                route("root", "/"),
            )
            val expected = mapOf(
                "/clubs/all" to "literal",
                "/clubs/7" to "variable",
                "/clubs/7/clocks" to "deep",
                "/clubs/7/hands" to "rest",
                "/clubs/all/clocks" to "deep",
                "/" to "root",
            )
            for ((path, name) in expected) routes.match("GET", path).name() shouldBe name
        }

        test("unknown paths, wrong methods and ambiguous paths give different results") {
            val routes = table(route("one", "/clubs/{club}", methods = setOf("GET", "PUT")))
            routes.match("GET", "/halls/7") shouldBe RouteMatch.NoRoute
            routes.match("POST", "/clubs/7") shouldBe RouteMatch.WrongMethod(setOf("GET", "PUT"))
            for (path in listOf(
                "",
                "clubs/7",
                "/clubs//7",
                "/clubs/7/",
                "/clubs/../x",
                "/clubs/.",
                "/clubs/%2e%2E",
                "/clubs/%2e.",
            )) {
                routes.match("GET", path) shouldBe RouteMatch.BadPath
            }
        }

        test("equivalent spellings of a key give the same key") {
            val byPath = table(route("one", "/clubs/{club}", KeySource.PathSegment("club")))
            val found = byPath.match("GET", "/clubs/a%41").shouldBeInstanceOf<RouteMatch.Found>()
            found.extractor?.extract(Head("/clubs/a%41")) shouldBe "aA"
            found.extractor?.extract(Head("/clubs/aA")) shouldBe "aA"
            found.extractor?.extract(Head("/clubs/a+b")) shouldBe "a+b"
            found.extractor?.extract(Head("/clubs/%zz")) shouldBe null
        }

        test("a key is taken from a header, or from a query parameter that occurs once") {
            val byHeader = KeyExtractor.of(
                route("h", "/x", KeySource.Header("k")),
                requireNotNull(PathPattern.parse("/x")),
            )
            byHeader?.extract(Head("/x", headers = mapOf("k" to "7"))) shouldBe "7"
            byHeader?.extract(Head("/x")) shouldBe null
            val byQuery = KeyExtractor.of(
                route("q", "/x", KeySource.QueryParameter("k")),
                requireNotNull(PathPattern.parse("/x")),
            )
            byQuery?.extract(Head("/x", query = "a=1&k=7")) shouldBe "7"
            byQuery?.extract(Head("/x", query = "k=7&k=8")) shouldBe null
            byQuery?.extract(Head("/x", query = "a=1")) shouldBe null
        }
    })
