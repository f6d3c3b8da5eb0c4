use latchmount::directory::*;
use latchmount::group::evidence::Evidence;
use latchmount::group::keepers::*;
use latchmount::group::listing::Packer;
use latchmount::group::loads::*;
use latchmount::group::message::*;
use latchmount::level::Level;
use latchmount::link::Message;
use latchmount::raft::*;
use std::time::Instant;
fn k(i: u64) -> LoadKey {
    LoadKey::of(xxhash_rust::xxh3::xxh3_64(&i.to_le_bytes()))
}
#[test]
fn sizes() {
    let env = Envelope {
        group: GroupId(u64::MAX / 3),
        from: StoreId(u64::MAX / 5),
        to: StoreId(u64::MAX / 7),
        term: 5,
        body: Body::AppendReply { round: 9000, result: AppendResult::Matched(30000) },
    };
    let beat = ToMember::Agreement {
        from: ([10, 0, 0, 1], 7420).into(),
        messages: vec![env.clone()],
        knows: Level(1),
    };
    let b = beat.to_bytes().unwrap();
    println!(
        "heartbeat reply: {} bytes, base {} json {}",
        b.len(),
        b.len() - 6,
        serde_json::to_vec(&env).unwrap().len() + 30
    );
    for n in [0u64, 150, 800] {
        let loads: Loads =
            (0..n).map(|i| TargetLoad { target: k(i), requests: 1 + (i % 7) as u32 }).collect();
        let up = Update {
            fresh: true,
            version: 300,
            gateways: 986,
            loads: Some(loads.clone()),
            evidence: Some(
                (0..n / 40)
                    .map(|i| Evidence { target: k(i), failed: 1.5, answered: 20.0, reporters: 4 })
                    .collect(),
            ),
            keepers: (0..(n / 25).min(32))
                .map(|i| Keeper { prompt: PromptKey::of(i << 50), target: k(i) })
                .collect(),
            ..Update::default()
        };
        let m = FromMember::Update(Box::new(up.clone()));
        let whole = m.to_bytes().unwrap().len();
        let part = FromMember::Update(Box::new(Update { loads: None, ..up.clone() }))
            .to_bytes()
            .unwrap()
            .len();
        let json = serde_json::to_vec(&loads).unwrap().len()
            + serde_json::to_vec(&up.evidence).unwrap().len()
            + serde_json::to_vec(&up.keepers).unwrap().len()
            + 150;
        let bytes = m.to_bytes().unwrap();
        let t = Instant::now();
        for _ in 0..2000 {
            std::hint::black_box(FromMember::from_bytes(&bytes).unwrap());
        }
        let d = t.elapsed() / 2000;
        let js = serde_json::to_vec(&loads).unwrap();
        let t = Instant::now();
        for _ in 0..2000 {
            std::hint::black_box(serde_json::from_slice::<Loads>(&js).unwrap());
        }
        let dj = t.elapsed() / 2000;
        println!(
            "update of {n} busy targets: {whole} bytes (beside loads {part}); json {json}; decode {d:?}, json loads alone {dj:?}"
        );
    }
    let a = |i: u64| Announcement {
        id: format!("i-{i:010x}"),
        born: Born(Some(1_700_000_000_000 + i * 37)),
        service: "s".into(),
        version: "v1".into(),
        addr: ([10, 1, (i >> 8) as u8, i as u8], 8361).into(),
        data_hall: format!("h{}", i % 7),
        slots: 8,
        state: TargetState::Ready,
        cold_left: std::time::Duration::ZERO,
        sequence: 0,
    };
    for plain in [true, false] {
        let delta = DirectoryDelta {
            revision: 9,
            whole: true,
            changed: (0..9999)
                .map(|i| Listed {
                    announcement: if plain { a(i).at(Level::BASE) } else { a(i) },
                    home: Some(i as u32),
                })
                .collect(),
            moved: vec![],
            removed: vec![],
        };
        let p = Packer::new().unwrap().pack(delta).unwrap();
        println!(
            "list of 9,999, base level {plain}: {} bytes",
            postcard::to_stdvec(&p).unwrap().len()
        );
        let t = Instant::now();
        for _ in 0..20 {
            std::hint::black_box(p.unpack().unwrap());
        }
        println!("  unpack {:?}", t.elapsed() / 20);
    }
}
