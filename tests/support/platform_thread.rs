//! The stand-in platform on a thread of the test process.

use jacinthrock_standins::http;
use jacinthrock_standins::platform::{PlatformApi, PlatformOptions};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;

/// Starts the stand-in platform on a thread that runs until the test process exits. Returns its
/// base URL.
pub(crate) fn start_platform() -> String {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let options =
                PlatformOptions { writes_per_second: 500, reads_per_second: 2000, history: 1000 };
            http::serve(listener, Rc::new(PlatformApi::new(options))).await.unwrap();
        });
    });
    format!("http://{}", receiver.recv().unwrap())
}
