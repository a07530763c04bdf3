//! Requests to stop: signals and operators.

use tokio::signal::unix::{SignalKind, signal};

use crate::operator::OperatorState;

/// Waits for the first request to stop. Later signals are taken and change nothing: the
/// shutdown that runs is already as quick as open requests allow.
pub(crate) async fn wait_for_shutdown(board: &OperatorState) {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return board.drain_requested().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = board.drain_requested() => {}
    }
}
