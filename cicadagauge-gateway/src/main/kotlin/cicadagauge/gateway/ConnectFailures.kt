package cicadagauge.gateway

import io.netty.channel.ConnectTimeoutException
import java.net.ConnectException

/** Whether a connection failed because nothing listens at its address; a time-out does not show that. */
internal val Throwable.isConnectionRefused: Boolean
    get() = this is ConnectException && this !is ConnectTimeoutException
