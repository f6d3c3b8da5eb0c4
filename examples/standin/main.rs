//! Stand-ins for external systems: model engines, a plain HTTP service, and the platform with its list of targets and its
//! weight store.
//!
//! `standin --engines 2 --model m7 --service porting` starts all of them on free ports, prints the base URL of the platform
//! on the first line, and runs until it is stopped.

mod engine;
mod http;
mod platform;
mod service;

use bpaf::Bpaf;
use latchmount::targets::Serves;

use engine::{Engine, EngineOptions, spec};
use platform::Platform;
use service::Service;

/// Stand-ins for what lies outside.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of engines.
    #[bpaf(long, argument("COUNT"), fallback(2))]
    engines: usize,
    /// Model that every engine has loaded.
    #[bpaf(long, argument("MODEL@VERSION"), fallback("m7@3".to_owned()))]
    model: String,
    /// Name of the plain service.
    #[bpaf(long, argument("NAME"), fallback("porting".to_owned()))]
    service: String,
    /// Time between two tokens, in milliseconds.
    #[bpaf(long, argument("MS"), fallback(5))]
    token_ms: u64,
    /// Let engines carry out orders without checking who gives them.
    unfenced: bool,
}

#[tokio::main]
async fn main() {
    let options = options().run();
    let platform = Platform::start().await;
    for number in 1..=options.engines {
        let engine = Engine::start(EngineOptions {
            token_ms: options.token_ms,
            models: vec![spec(&options.model)],
            fenced: !options.unfenced,
            ..EngineOptions::default()
        })
        .await;
        let name = format!("engine-{number}");
        platform.add_engine(&name, &engine);
    }
    let service = Service::start().await;
    platform.add(&options.service, service.url(), Serves::Service(options.service.clone()));
    println!("{}", platform.url());
    std::future::pending::<()>().await;
}
