use {
    super::{KindSpec, LoadFile, PartSpec, SimRequest},
    pitchhitch_core::{
        serving::{PartId, PromptPart},
        time::Micros,
    },
    rand::{prelude::Distribution, Rng, SeedableRng},
    rand_distr::{Exp, Geometric, Zipf},
    rand_pcg::Pcg64,
};

/// Time for which the simulation runs before requests arrive: fronts save nothing to stores
/// that they have just begun to poll.
pub const WARM_UP_TIME: Micros = Micros::from_secs(10);
/// Mean gap between the requests of a burst, in milliseconds.
const MEAN_BURST_GAP_MS: f64 = 10.0;
/// Seed of the sizes of shared parts: they belong to the load and are the same in all runs.
const SUBJECT_SEED: u64 = 0x5eed_0f51;

/// Draws all requests of a load, sorted by arrival time.
pub fn generate_requests(
    load: &LoadFile,
    seed: u64,
) -> Vec<SimRequest> {
    let mut requests = Vec::new();
    for (kind_index, kind) in load.kinds.iter().enumerate() {
        let mut random =
            Pcg64::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(kind_index as u64));
        generate_kind(load, kind_index, kind, &mut random, &mut requests);
    }
    requests.sort_by_key(|request| request.at);
    requests
}

fn generate_kind(
    load: &LoadFile,
    kind_index: usize,
    kind: &KindSpec,
    random: &mut Pcg64,
    requests: &mut Vec<SimRequest>,
) {
    let peak = load.waves.iter().map(|wave| wave.times).fold(1.0, f64::max) * (1.0 + load.swing);
    let bursts_per_s = kind.per_s * peak / load.clump.max(1.0);
    let Ok(gap) = Exp::new(bursts_per_s) else {
        return;
    };
    let phase = random.gen_range(0.0..1.0);
    let mut at_s = 0.0;
    loop {
        at_s += gap.sample(random);
        if at_s >= load.length_s {
            return;
        }
        // Arrivals are drawn at the peak rate and thinned to the current rate.
        if random.gen_range(0.0..peak) >= rate_factor(load, kind, at_s, phase) {
            continue;
        }
        let mut request_s = at_s;
        for _ in 0..burst_size(load.clump, random) {
            requests.push(draw_request(load, kind_index, kind, request_s, random));
            request_s += random.gen_range(0.0..2.0) * MEAN_BURST_GAP_MS / 1e3;
        }
    }
}

fn rate_factor(
    load: &LoadFile,
    kind: &KindSpec,
    at_s: f64,
    phase: f64,
) -> f64 {
    let angle = (at_s / load.swing_s + phase) * std::f64::consts::TAU;
    let swing_factor = 1.0 + load.swing * angle.sin();
    let waves = load.waves.iter().filter(|wave| {
        let is_now = at_s >= wave.from_s && at_s < wave.from_s + wave.for_s;
        is_now && wave.kind.as_ref().is_none_or(|name| *name == kind.name)
    });
    swing_factor * waves.map(|wave| wave.times).fold(1.0, f64::max)
}

fn burst_size(
    mean: f64,
    random: &mut Pcg64,
) -> u64 {
    let extra = Geometric::new(1.0 / mean.max(1.0));
    1 + extra.map_or(0, |distribution| distribution.sample(random))
}

fn draw_request(
    load: &LoadFile,
    kind_index: usize,
    kind: &KindSpec,
    at_s: f64,
    random: &mut Pcg64,
) -> SimRequest {
    let at = WARM_UP_TIME + Micros((at_s * 1e6) as u64);
    let mut parts: Vec<PromptPart> = Vec::new();
    for (level, shared) in kind.shared.iter().enumerate() {
        parts.push(draw_shared(kind_index, level, shared, random));
    }
    parts.push(PromptPart {
        id: part_id(random.gen()),
        tokens: kind.own.draw(random),
    });
    let tokens_out = kind.out.draw(random);
    let time_left = random.gen_range(0.0..1.0) * kind.deadline().0 as f64;
    let leaves = random.gen_bool(kind.leaving.clamp(0.0, 1.0));
    SimRequest {
        kind: kind_index,
        at,
        front: random.gen_range(0..load.fronts),
        parts,
        tokens_out,
        leaves_at: leaves.then_some(at + Micros(time_left as u64)),
        is_impatient: random.gen_bool(kind.impatient.clamp(0.0, 1.0)),
        jitter: random.gen_range(0.0..1.0),
    }
}

fn draw_shared(
    kind_index: usize,
    level: usize,
    shared: &PartSpec,
    random: &mut Pcg64,
) -> PromptPart {
    let distribution = Zipf::new(shared.subjects.max(1), shared.skew.max(0.0));
    let subject = distribution.map_or(1, |distribution| distribution.sample(random) as u64);
    let subject_seed = SUBJECT_SEED ^ (kind_index as u64) << 48 ^ (level as u64) << 40 ^ subject;
    let mut subject_random = Pcg64::seed_from_u64(subject_seed);
    PromptPart {
        id: part_id(subject_random.gen()),
        tokens: shared.tokens.draw(&mut subject_random),
    }
}

fn part_id(number: u64) -> PartId {
    // Sixteen hex digits always parse.
    PartId::parse(&format!("{number:016x}")).expect("hex digits")
}
