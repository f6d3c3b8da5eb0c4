//! Stand-in for a plain HTTP service; it counts how often each call ran.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use super::http::serve;

/// Header with the ID under which a call's runs are counted.
pub const CALL_ID: &str = "x-call-id";
/// Header with the time until the call is answered, in milliseconds.
pub const TAKES_MS: &str = "x-takes-ms";

/// A running service; clones share it.
#[derive(Clone)]
pub struct Service {
    url: String,
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Service {
    /// Starts on a free port.
    pub async fn start() -> Self {
        let runs = Arc::new(Mutex::new(BTreeMap::new()));
        let call = Call { runs: runs.clone() };
        let url = serve(Router::with_path("{**path}").goal(call)).await;
        Service { url, runs }
    }

    /// Base URL.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// How often the call `id` ran.
    #[allow(dead_code)]
    pub fn runs(&self, id: &str) -> u64 {
        *self.runs.lock().unwrap().get(id).unwrap_or(&0)
    }
}

struct Call {
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
}

#[async_trait]
impl Handler for Call {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let id = req.header::<String>(CALL_ID).unwrap_or_default();
        *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        let takes = req.header::<u64>(TAKES_MS).unwrap_or_default();
        tokio::time::sleep(Duration::from_millis(takes)).await;
        res.render(format!("{} {} {id}", req.method(), req.uri().path()));
    }
}
