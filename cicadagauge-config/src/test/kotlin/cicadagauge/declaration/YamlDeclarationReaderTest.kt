package cicadagauge.declaration

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private val GOOD = """
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

/** Replaces [line] of the valid declaration by [text], which must be reported as [message] on line [at]. */
private class Fault(val line: Int, val text: String, val message: String, val at: Int = line)

class YamlDeclarationReaderTest :
    FunSpec({
        val reader = YamlDeclarationReader()

        test("a valid declaration is unchanged after writing and reading it") {
            val declaration = reader.read(GOOD).getOrNull()
            declaration?.pools?.single()?.slots shouldBe DeclarationDefaults.SLOTS
            reader.read(DeclarationWriter.write(requireNotNull(declaration))).getOrNull() shouldBe declaration
        }

        test("each kind of error is reported with its line") {
            val faults = listOf(
                Fault(1, "zones: [north, north]", "declared twice"),
                Fault(1, "zones: [south]", "availability zone 'north' is not declared", at = 5),
                Fault(3, "  - nam: catalogue", "unknown field 'nam'"),
                Fault(3, "  - name: 'a b'", "'name' must be"),
                Fault(3, "  - name: catalogue\n    slots: 0", "'slots' must be a whole number from 1", at = 4),
                Fault(3, "  - name: catalogue\n    keyed: maybe", "'keyed' must be true or false", at = 4),
                Fault(5, "      - {id: catalogue-1, address: 10.0.0.1, zone: north}", "'address' must be host:port"),
                Fault(
                    5,
                    "      - {id: catalogue-1, address: '10.0.0.1:80', zone: west}",
                    "availability zone 'west' is not declared",
                ),
                Fault(8, "    path: catalogue", "'path' must look like"),
                Fault(8, "    path: /catalogue/{hall}", "the path has no segment '{club}'", at = 11),
                Fault(9, "    methods: [FETCH]", "method 'FETCH' is not one of"),
                Fault(10, "    pool: catalog", "pool 'catalog' is not declared"),
                Fault(11, "    key: {from: body, name: club}", "'from' must be"),
                Fault(11, "    deadlineMillis: 0", "'deadlineMillis' must be"),
                Fault(13, "  - {name: club, ratePerSecond: 0, burst: 10}", "'ratePerSecond' must be a number above 0"),
                Fault(
                    13,
                    "  - {name: club, ratePerSecond: 1, burst: 10, keyHashes: [abc]}",
                    "64 lower-case hexadecimal",
                ),
                Fault(13, "  - {name: club, burst: 10}", "'ratePerSecond' is missing"),
            )
            for (fault in faults) {
                val text = GOOD.lines().mapIndexed { at, line ->
                    if (at + 1 ==
                        fault.line
                    ) {
                        fault.text
                    } else {
                        line
                    }
                }.joinToString("\n")
                val problems = reader.read(text).leftOrNull().orEmpty()
                withClue("${fault.text} gave $problems") {
                    problems.any { fault.message in it.message && it.line == fault.at } shouldBe true
                }
            }
        }

        test("all problems are reported at once, sorted by position") {
            val text = GOOD.replace("pool: catalogue", "pool: x").replace("zone: north", "zone: east")
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
