package cicadagauge.declaration

/** One difference between two declarations: the element called [name], of the type [elementType], was [kind]. */
public data class Change(val kind: Kind, val elementType: String, val name: String) {
    /** How an element differs; [sign] marks it in printed diffs. */
    public enum class Kind(public val sign: String) { Added("+"), Removed("-"), Changed("~") }

    override fun toString(): String = "${kind.sign} $elementType $name"
}

/** Compares declarations element by element. */
public object DeclarationDiff {
    /** The changes that lead from [before], or from nothing if it is null, to [after]. */
    public fun between(before: Declaration?, after: Declaration): List<Change> = listOf(
        compare(
            "availability zone",
            before?.zones.orEmpty().associateBy {
                it.value
            },
            after.zones.associateBy { it.value },
        ),
        compare(
            "pool",
            before?.pools.orEmpty().associateBy {
                it.name.value
            },
            after.pools.associateBy { it.name.value },
        ),
        compare("upstream", upstreams(before), upstreams(after)),
        compare(
            "route",
            before?.routes.orEmpty().associateBy {
                it.name.value
            },
            after.routes.associateBy { it.name.value },
        ),
        compare(
            "customer",
            before?.customers.orEmpty().associateBy {
                it.name.value
            },
            after.customers.associateBy { it.name.value },
        ),
        compare("customers' keys", keyRequirement(before), keyRequirement(after)),
        compare("entry VMs", vmCount(before), vmCount(after)),
        compare(
            "zone out",
            before?.zonesOut.orEmpty().associateBy {
                it.value
            },
            after.zonesOut.associateBy { it.value },
        ),
        compare(
            "upstream out",
            before?.upstreamsOut.orEmpty().associateBy {
                it.value
            },
            after.upstreamsOut.associateBy { it.value },
        ),
    ).flatten()

    private fun upstreams(declaration: Declaration?): Map<String, Upstream> =
        declaration?.pools.orEmpty().flatMap { it.upstreams }.associateBy { it.id.value }

    private fun keyRequirement(declaration: Declaration?): Map<String, Boolean> =
        declaration?.let { mapOf("required" to it.requiresCustomerKey) }.orEmpty()

    private fun vmCount(declaration: Declaration?): Map<String, Int> =
        declaration?.let { mapOf("count" to it.entryVms) }.orEmpty()

    private fun <T> compare(elementType: String, before: Map<String, T>, after: Map<String, T>): List<Change> {
        val names = (before.keys + after.keys).sorted()
        return names.mapNotNull { name ->
            val kind = when {
                name !in before -> Change.Kind.Added
                name !in after -> Change.Kind.Removed
                before[name] != after[name] -> Change.Kind.Changed
                else -> return@mapNotNull null
            }
            Change(kind, elementType, name)
        }
    }
}
