//! Size of a configuration change as it is sent to members and gateways.
//!
//! Guards against small changes to a large configuration being sent as large blobs. After a configuration had grown by
//! 1,720 routes to 375 KB, each small change took 16 KB instead of 0.1 KB. The compressor got the base as its
//! dictionary, at a level whose table holds some 16,000 positions, and those of the first part of a long base had been
//! overwritten by later ones. The test checks several lengths of the base and positions of the change.

use latchmount::document::Document;

/// Maximum size in bytes of a packed change of one value.
const MAX_CHANGE_BYTES: usize = 500;

/// A configuration with this number of routes, formatted as operators send them.
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

/// The next version of the document, with the first timeout after this fraction of its length changed.
fn changed(base: &Document, fraction: f64) -> Document {
    let text = std::str::from_utf8(&base.bytes).expect("text");
    let from = (text.len() as f64 * fraction) as usize;
    let at = from + text[from..].find("\"timeout-ms\":2").expect("a timeout") + 13;
    let text = format!("{}7{}", &text[..at], &text[at + 1..]);
    Document { version: base.version + 1, bytes: text.into() }
}

#[test]
fn a_small_change_packs_small_however_large_the_configuration() {
    for routes in [240, 1_960, 6_000, 20_000] {
        let base = document(1, routes);
        for fraction in [0.0, 0.5, 0.99] {
            let next = changed(&base, fraction);
            let packed = next.pack(Some(&base)).expect("packs");
            println!(
                "{routes} routes, {} B, at {fraction}: {} B",
                base.bytes.len(),
                packed.bytes.len()
            );
            assert_eq!(packed.unpack(Some(&base)).expect("unpacks"), next);
            assert!(
                packed.bytes.len() < MAX_CHANGE_BYTES,
                "{} B of {routes} routes",
                packed.bytes.len()
            );
        }
    }
}
