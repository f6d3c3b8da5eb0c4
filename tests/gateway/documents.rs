//! What a change of a configuration weighs on its way to members and gateways.
//!
//! Once a configuration had grown by 1,720 routes to 375 KB, each small change after it weighed 16 KB on
//! its way to every member and gateway, where it had weighed 0.1 KB before, and queued like the
//! growth itself. The base was given to the compressor as a dictionary, at a level whose table
//! holds the places of some 16,000 pieces: those of the first part of a long base had been
//! overwritten by later ones when they were looked up. Evidence: the sizes by length of the base, below.

use latchmount::document::Document;

/// Bytes that a change of one value may weigh.
const SMALL: usize = 500;

/// A configuration with so many routes, laid out as operators send them.
fn document(version: u64, routes: u64) -> Document {
    let route = |at: u64| {
        let name = xxhash_rust::xxh3::xxh3_64(&at.to_le_bytes());
        format!(
            "{{\"name\":\"r-{:06x}\",\"host\":\"h{}.example\",\"path-prefix\":\"/{:05x}/\",\
             \"service\":\"s-{}\",\"kind\":\"safe\",\"timeout-ms\":{},\"max-attempts\":2,\"weight\":100}}",
            name & 0xff_ffff,
            at % 9,
            name >> 44,
            at % 3,
            2_000 + at % 2,
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    let text = format!("{{\"version\":{version},\"routes\":[{}]}}", routes.join(",\n"));
    Document { version, bytes: text.into() }
}

/// The document with one timeout changed, at this part of its length.
fn changed(base: &Document, part: f64) -> Document {
    let text = std::str::from_utf8(&base.bytes).expect("text");
    let from = (text.len() as f64 * part) as usize;
    let at = from + text[from..].find("\"timeout-ms\":2").expect("a timeout") + 13;
    let text = format!("{}7{}", &text[..at], &text[at + 1..]);
    Document { version: base.version + 1, bytes: text.into() }
}

#[test]
fn a_small_change_weighs_little_however_large_the_configuration() {
    for routes in [240, 1_960, 6_000, 20_000] {
        let base = document(1, routes);
        for part in [0.0, 0.5, 0.99] {
            let next = changed(&base, part);
            let packed = next.pack(Some(&base)).expect("packs");
            println!(
                "{routes} routes, {} B, at {part}: {} B",
                base.bytes.len(),
                packed.bytes.len()
            );
            assert_eq!(packed.unpack(Some(&base)).expect("unpacks"), next);
            assert!(packed.bytes.len() < SMALL, "{} B of {routes} routes", packed.bytes.len());
        }
    }
}
