//! Debug.
#[test]
fn a_cells() {
    let t = std::time::Instant::now();
    let r = proof::run_cells(None);
    for c in &r.cells {
        if !c.violations.is_empty() || c.verdict == "not reached" || c.verdict == "open" {
            println!("{:?} {}", c.strike, c.verdict);
            for v in &c.violations {
                println!("   {v}");
            }
        }
    }
    println!("{} {:?} {:?}", r.cells.len(), r.violations, t.elapsed());
}
#[test]
fn a_pairs() {
    let t = std::time::Instant::now();
    let r = proof::run_pairs(0..2000, None);
    println!("{:?} {:?}", r.violations, t.elapsed());
    for (s, v) in &r.failing {
        println!("seed {s} {:?}", proof::pair(*s).strikes);
        for v in v {
            println!("   {v}");
        }
    }
}
