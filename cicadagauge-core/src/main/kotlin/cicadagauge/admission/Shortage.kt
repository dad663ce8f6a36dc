package cicadagauge.admission

/** Why a request found no token. [detail] is part of the refusal and of its log line. */
internal enum class Shortage(val detail: String) {
    /** The coordinator has answered, and the waived portions have no token left. */
    RateUsedUp("the customer's rate is used up"),

    /** The coordinator's answer was late, and this VM's portion is still waived. */
    AnswerLate("the answer of the customer's coordinator is late"),

    /** The coordinator has nothing to lend, and this VM's portion is still waived to another VM or not usable yet. */
    NoPortion("no portion of the customer's rate is available yet"),

    /** Nothing is lent, and this VM's own portion has no token left. */
    PortionUsedUp("this VM's portion of the customer's rate is used up"),

    /** Too many requests of the customer wait for tokens. */
    QueueFull("too many requests of the customer wait for its coordinator"),
}
