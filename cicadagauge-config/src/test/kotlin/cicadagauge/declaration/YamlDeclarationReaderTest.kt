package cicadagauge.declaration

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private val VALID_DECLARATION = """
    |zones: [north, south]
    |pools:
    |  - name: catalogue
    |    upstreams:
    |      - {id: catalogue-1, address: 10.0.0.1:80, zone: north}
    |routes:
    |  - name: read
    |    path: /catalogue/{club}
    |    methods: [GET]
    |    pool: catalogue
    |    key: {from: path, name: club}
    |customers:
    |  - {name: club, ratePerSecond: 5, burst: 10, keyHashes: [${"a".repeat(64)}]}
    |
""".trimMargin()

/** Replaces [line] of the valid declaration by [text], which must be reported as [message] on line [reportedLine]. */
private class Case(val line: Int, val text: String, val message: String, val reportedLine: Int = line)

class YamlDeclarationReaderTest :
    FunSpec({
        val reader = YamlDeclarationReader()

        test("a valid declaration is unchanged after writing and reading it") {
            val declaration = reader.read(VALID_DECLARATION).getOrNull()
            declaration?.pools?.single()?.slots shouldBe DeclarationDefaults.SLOTS
            reader.read(DeclarationWriter.write(requireNotNull(declaration))).getOrNull() shouldBe declaration
        }

        test("a declaration that requires no keys is unchanged after writing and reading it") {
            val declaration = reader.read("requiresCustomerKey: false\n$VALID_DECLARATION").getOrNull()
            declaration?.requiresCustomerKey shouldBe false
            reader.read(DeclarationWriter.write(requireNotNull(declaration))).getOrNull() shouldBe declaration
        }

        test("each kind of error is reported with its line") {
            val cases = listOf(
                Case(1, "zones: [north, north]", "declared twice"),
                Case(1, "zones: [south]", "availability zone 'north' is not declared", reportedLine = 5),
                Case(3, "  - nam: catalogue", "unknown field 'nam'"),
                Case(3, "  - name: 'a b'", "'name' must be"),
                Case(3, "  - name: catalogue\n    slots: 0", "'slots' must be a whole number from 1", reportedLine = 4),
                Case(3, "  - name: catalogue\n    keyed: maybe", "'keyed' must be true or false", reportedLine = 4),
                Case(5, "      - {id: catalogue-1, address: 10.0.0.1, zone: north}", "'address' must be host:port"),
                Case(
                    5,
                    "      - {id: catalogue-1, address: '10.0.0.1:80', zone: west}",
                    "availability zone 'west' is not declared",
                ),
                Case(8, "    path: catalogue", "'path' must look like"),
                Case(8, "    path: /catalogue/{hall}", "the path has no segment '{club}'", reportedLine = 11),
                Case(9, "    methods: [FETCH]", "method 'FETCH' is not one of"),
                Case(10, "    pool: catalog", "pool 'catalog' is not declared"),
                Case(11, "    key: {from: body, name: club}", "'from' must be"),
                Case(11, "    deadlineMillis: 0", "'deadlineMillis' must be"),
                Case(13, "  - {name: club, ratePerSecond: 0, burst: 10}", "'ratePerSecond' must be a number above 0"),
                Case(
                    13,
                    "  - {name: club, ratePerSecond: 1, burst: 10, keyHashes: [abc]}",
                    "64 lower-case hexadecimal",
                ),
                Case(13, "  - {name: club, burst: 10}", "'ratePerSecond' is missing"),
            )
            for (case in cases) {
                val text = VALID_DECLARATION.lines().mapIndexed { index, line ->
                    if (index + 1 ==
                        case.line
                    ) {
                        case.text
                    } else {
                        line
                    }
                }.joinToString("\n")
                val problems = reader.read(text).leftOrNull().orEmpty()
                withClue("${case.text} gave $problems") {
                    problems.any { case.message in it.message && it.line == case.reportedLine } shouldBe true
                }
            }
        }

        test("all problems are reported at once, sorted by position") {
            val text = VALID_DECLARATION.replace("pool: catalogue", "pool: x").replace("zone: north", "zone: east")
            val problems = reader.read(text).leftOrNull().orEmpty()
            problems.map { it.line } shouldContainExactly listOf(5, 10)
            problems.first().column shouldBe 55
        }

        test("malformed YAML, an empty text and a list at the root are rejected") {
            reader.read("zones: [").leftOrNull().orEmpty().first().message shouldContain "expected"
            reader.read("").isLeft() shouldBe true
            reader.read("- a").isLeft() shouldBe true
        }
    })
