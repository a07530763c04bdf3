//! Shutdown requests: signals of the operating system and drain requests of operators.

use tokio::signal::unix::{SignalKind, signal};

use crate::operator::OperatorState;

/// Waits for SIGTERM, SIGINT or an operator's drain request, whichever comes first.
///
/// Later signals are caught and ignored: a shutdown in progress is already as fast as the open
/// requests allow. If the signal handlers can't be installed, only a drain request counts.
pub(crate) async fn wait_for_shutdown(operator_state: &OperatorState) {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return operator_state.drain_requested().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = operator_state.drain_requested() => {}
    }
}
