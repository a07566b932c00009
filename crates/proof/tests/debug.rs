//! Debug.
#[test]
fn debug() {
    let t = std::time::Instant::now();
    let r = proof::run_pairs(0..2000, None);
    println!("{:?} {:?}", r.violations, t.elapsed());
    for (s, v) in &r.failing { println!("seed {s} {:?}", proof::pair(*s).strikes); for v in v { println!("   {v}"); } }
}
#[test]
fn breaks() {
    for b in proof::Broken::ALL {
        let r = proof::run_pairs(0..60, Some(b));
        println!("{b:?} {:?}", r.violations);
    }
}
