//! Ways to choose which workers each node uses, at four sizes: how even, how much moves when a node
//! or a worker comes, how fair with loads that differ by ten times, and what choosing costs. `cargo
//! run --release -p pipitlever-subsetting --example compare`

use pipitlever_subsetting::demand::level;
use pipitlever_subsetting::flow::{bear, fairness};
use pipitlever_subsetting::hash;
use pipitlever_subsetting::plan::{divide, Peer, Worker};
use std::time::Instant;

type Uses = Vec<Vec<usize>>;
type Way = fn(&[String], &[String], usize) -> Uses;

fn names(letter: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{letter}{i}")).collect()
}

/// Each node draws its own.
fn random(nodes: &[String], workers: &[String], d: usize) -> Uses {
    let best = |n: &String| {
        let mut all: Vec<(u64, usize)> = workers
            .iter()
            .enumerate()
            .map(|(i, w)| (hash(&[n, w, "random"]), i))
            .collect();
        all.sort_unstable();
        let mut used: Vec<usize> = all.into_iter().take(d).map(|(_, i)| i).collect();
        used.sort_unstable();
        used
    };
    nodes.iter().map(best).collect()
}

/// In rounds: each round shuffles the workers and deals them out to the nodes in order (Beyer and
/// others 2016, chapter 20).
fn rounds(nodes: &[String], workers: &[String], d: usize) -> Uses {
    let d = d.min(workers.len());
    let per = (workers.len() / d).max(1);
    let deal = |(j, _): (usize, &String)| {
        let round = (j / per).to_string();
        let mut all: Vec<(u64, usize)> = workers
            .iter()
            .enumerate()
            .map(|(i, w)| (hash(&[w, &round, "round"]), i))
            .collect();
        all.sort_unstable();
        let at = (j % per) * d;
        let mut used: Vec<usize> = all[at..at + d].iter().map(|(_, i)| *i).collect();
        used.sort_unstable();
        used
    };
    nodes.iter().enumerate().map(deal).collect()
}

/// On a ring: nodes at even places, each uses the workers from its own on, the ends in parts
/// (Twitter's deterministic aperture).
fn aperture(nodes: &[String], workers: &[String], d: usize) -> Uses {
    let d = d.min(workers.len());
    let arc = |j: usize| {
        let start = j as f64 / nodes.len() as f64 * workers.len() as f64;
        let mut used: Vec<usize> = (0..=d)
            .map(|k| (start as usize + k) % workers.len())
            .collect();
        // The first one is used in part where the start lies within it, and then so is one more.
        used.truncate(if start.fract() > 1e-9 { d + 1 } else { d });
        used.sort_unstable();
        used.dedup();
        used
    };
    (0..nodes.len()).map(arc).collect()
}

fn ours(nodes: &[String], workers: &[String], d: usize) -> Uses {
    divided(nodes, workers, d, &vec![0; nodes.len()]).0
}

fn divided(nodes: &[String], workers: &[String], d: usize, levels: &[u8]) -> (Uses, Vec<f64>) {
    let peer = |(name, level): (&String, &u8)| Peer {
        name: name.clone(),
        zone: String::new(),
        level: *level,
    };
    let peers: Vec<Peer> = nodes.iter().zip(levels).map(peer).collect();
    let worker = |name: &String| Worker {
        name: name.clone(),
        zone: String::new(),
        weight: 1.0,
        tier: 0,
        most_runs: 64,
    };
    let workers: Vec<Worker> = workers.iter().map(worker).collect();
    let whole = divide(&peers, &workers, d);
    (whole.uses, whole.weighed)
}

fn moved(before: &Uses, after: &Uses) -> usize {
    before
        .iter()
        .zip(after)
        .map(|(b, a)| b.iter().filter(|i| !a.contains(i)).count())
        .sum()
}

fn main() {
    let ways: [(&str, Way); 4] = [
        ("random", random),
        ("rounds", rounds),
        ("aperture", aperture),
        ("this one", ours),
    ];
    println!("nodes/workers/d  way       least..most of the mean  pairs moved by a node, by a worker  Jain at 10x  ms");
    for (n, w, d) in [(10, 8, 4), (100, 40, 10), (300, 100, 20), (1_000, 300, 20)] {
        let (nodes, workers) = (names("n", n + 1), names("w", w + 1));
        // A tenth of the nodes has ten times the load of the others.
        let loads: Vec<f64> = (0..n)
            .map(|j| if j % 10 == 0 { 1_000.0 } else { 100.0 })
            .collect();
        let levels: Vec<u8> = loads.iter().map(|l| level(*l)).collect();
        for (name, way) in ways {
            let start = Instant::now();
            let before = way(&nodes[..n], &workers[..w], d);
            let took = start.elapsed().as_secs_f64() * 1e3;
            let mut borne = vec![0usize; w];
            before.iter().flatten().for_each(|&i| borne[i] += 1);
            let mean = borne.iter().sum::<usize>() as f64 / w as f64;
            let (least, most) = (borne.iter().min().unwrap(), borne.iter().max().unwrap());
            let by_node = moved(&before, &way(&nodes, &workers[..w], d));
            let by_worker = moved(&before, &way(&nodes[..n], &workers, d));
            let (uses, weighed) = match name {
                "this one" => divided(&nodes[..n], &workers[..w], d, &levels),
                _ => (before, vec![1.0; w]),
            };
            let fair = fairness(&bear(&loads, &weighed, &uses), &vec![1.0; w]);
            println!(
                "{n}/{w}/{d:<4} {name:>12}  {:.2}..{:.2}  {by_node:>6} {by_worker:>6}  {fair:.4}  {took:.1}",
                *least as f64 / mean,
                *most as f64 / mean
            );
        }
    }
    // A fleet that grows from 10 to 300 and shrinks back, 100 workers, loads as above.
    let workers = names("w", 100);
    let (mut worst, mut fair, mut total, mut pairs) = (0.0f64, 1.0f64, 0, 0);
    let mut before: Option<(usize, Uses)> = None;
    for n in (10..=300).step_by(10).chain((10..300).step_by(10).rev()) {
        let nodes = names("n", n);
        let loads: Vec<f64> = (0..n)
            .map(|j| if j % 10 == 0 { 1_000.0 } else { 100.0 })
            .collect();
        let levels: Vec<u8> = loads.iter().map(|l| level(*l)).collect();
        let (uses, weighed) = divided(&nodes, &workers, 20, &levels);
        let borne = bear(&loads, &weighed, &uses);
        let mean = borne.iter().sum::<f64>() / 100.0;
        worst = worst.max(borne.iter().fold(0.0, |a: f64, b| a.max(*b)) / mean);
        fair = fair.min(fairness(&borne, &[1.0; 100]));
        if let Some((_, old)) = &before {
            total += moved(old, &uses);
            pairs += uses.iter().map(Vec::len).sum::<usize>();
        }
        before = Some((n, uses));
    }
    println!("10 to 300 nodes and back, 10 at a time, 100 workers: worst worker {worst:.3} of the mean, Jain {fair:.4} at the least,");
    println!(
        "{total} of {pairs} pairs moved, {:.1}%",
        total as f64 / pairs as f64 * 100.0
    );
}
