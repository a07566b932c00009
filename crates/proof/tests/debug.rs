//! Debug.
#[test]
fn a_pairs() {
    let t = std::time::Instant::now();
    let r = proof::run_pairs(0..600, None);
    println!("{:?} {:?}", r.violations, t.elapsed());
    for (s, v) in &r.failing { println!("seed {s} {:?}", proof::pair(*s).strikes); for v in v { println!("   {v}"); } }
}
#[test]
fn breaks() {
    use proof::*;
    for b in [Broken::IgnoreBoot, Broken::NoRest, Broken::LateDispatch] {
        let r = proof::run_pairs(0..100, Some(b));
        println!("{b:?} {:?}", r.violations);
    }
}
