//! Daemons that run in the test's process, each on its own runtime.

use std::io;
use std::thread::JoinHandle;

use spokelift_lib::daemon;
use spokelift_lib::daemon::Addrs;
use spokelift_lib::daemon::Sockets;
use spokelift_lib::settings::Settings;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// A daemon on its own runtime. Dropping it ends it like a kill.
pub struct Daemon {
    /// The addresses on which it listens.
    pub addrs: Addrs,
    runtime: Option<Runtime>,
    stop: watch::Sender<bool>,
    stopped: Option<oneshot::Receiver<()>>,
}

impl Daemon {
    /// Starts a daemon. Must not be called from within a runtime.
    pub fn start(settings: Settings) -> io::Result<Daemon> {
        let name = format!("entry-{}", settings.id);
        let runtime =
            Builder::new_multi_thread().worker_threads(1).thread_name(name).enable_all().build()?;
        let sockets = runtime.block_on(Sockets::bind(&settings)).map_err(io::Error::other)?;
        let addrs = sockets.addrs()?;
        let (stop, stop_rx) = watch::channel(false);
        let (stopped_tx, stopped) = oneshot::channel();
        runtime.spawn(async move {
            let result = daemon::run(settings, sockets, stop_rx).await;
            if result.is_ok() {
                let _ = stopped_tx.send(());
            }
        });
        Ok(Daemon { addrs, runtime: Some(runtime), stop, stopped: Some(stopped) })
    }

    /// Ends the daemon at once: its tasks are dropped at their next await and its sockets close.
    /// The returned thread ends when all of them have ended.
    pub fn kill(mut self) -> JoinHandle<()> {
        let runtime = self.runtime.take().expect("only kill and stop take the runtime");
        // Dropping a runtime blocks on its threads, which is not allowed within another runtime.
        std::thread::spawn(move || drop(runtime))
    }

    /// Requests a graceful stop and waits for it.
    pub async fn stop(mut self) {
        let _ = self.stop.send(true);
        if let Some(stopped) = self.stopped.take() {
            let _ = stopped.await;
        }
        let _ = tokio::task::spawn_blocking(move || drop(self.kill())).await;
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
