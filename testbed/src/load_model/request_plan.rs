use {
    super::{KindSpec, LoadFile, PartSpec, PromptCall},
    pitchhitch_core::{
        serving::{PartId, PromptPart},
        time::Micros,
    },
    rand::{prelude::Distribution, Rng, SeedableRng},
    rand_distr::{Exp, Geometric, Zipf},
    rand_pcg::Pcg64,
};

/// Time for which all runs before requests come: fronts save nothing to stores
/// that they have just begun to look at.
pub const LEAD_TIME: Micros = Micros::from_secs(10);
/// Mean time between requests that come together, in milliseconds. Assumed.
const CLUMP_MS: f64 = 10.0;
/// Seed of the sizes of subjects: they belong to the load, not to a run.
const SUBJECT_SEED: u64 = 0x5eed_0f51;

/// Draws all requests of a load, in the order in which they come.
pub fn plan_calls(
    load: &LoadFile,
    seed: u64,
) -> Vec<PromptCall> {
    let mut calls = Vec::new();
    for (place, kind) in load.kinds.iter().enumerate() {
        let mut random = Pcg64::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(place as u64));
        plan_kind(load, place, kind, &mut random, &mut calls);
    }
    calls.sort_by_key(|call| call.at);
    calls
}

fn plan_kind(
    load: &LoadFile,
    place: usize,
    kind: &KindSpec,
    random: &mut Pcg64,
    calls: &mut Vec<PromptCall>,
) {
    let most = load.waves.iter().map(|wave| wave.times).fold(1.0, f64::max) * (1.0 + load.swing);
    let clumps_per_s = kind.per_s * most / load.clump.max(1.0);
    let Ok(pause) = Exp::new(clumps_per_s) else {
        return;
    };
    let phase = random.gen_range(0.0..1.0);
    let mut at_s = 0.0;
    loop {
        at_s += pause.sample(random);
        if at_s >= load.length_s {
            return;
        }
        // What is drawn at the highest rate is thinned to the rate of the moment.
        if random.gen_range(0.0..most) >= rate_factor(load, kind, at_s, phase) {
            continue;
        }
        let mut call_s = at_s;
        for _ in 0..clump_size(load.clump, random) {
            calls.push(draw_call(load, place, kind, call_s, random));
            call_s += random.gen_range(0.0..2.0) * CLUMP_MS / 1e3;
        }
    }
}

fn rate_factor(
    load: &LoadFile,
    kind: &KindSpec,
    at_s: f64,
    phase: f64,
) -> f64 {
    let turn = (at_s / load.swing_s + phase) * std::f64::consts::TAU;
    let swung = 1.0 + load.swing * turn.sin();
    let waves = load.waves.iter().filter(|wave| {
        let is_now = at_s >= wave.from_s && at_s < wave.from_s + wave.for_s;
        is_now && wave.kind.as_ref().is_none_or(|name| *name == kind.name)
    });
    swung * waves.map(|wave| wave.times).fold(1.0, f64::max)
}

fn clump_size(
    mean: f64,
    random: &mut Pcg64,
) -> u64 {
    let further = Geometric::new(1.0 / mean.max(1.0));
    1 + further.map_or(0, |distribution| distribution.sample(random))
}

fn draw_call(
    load: &LoadFile,
    place: usize,
    kind: &KindSpec,
    at_s: f64,
    random: &mut Pcg64,
) -> PromptCall {
    let at = LEAD_TIME + Micros((at_s * 1e6) as u64);
    let mut parts: Vec<PromptPart> = Vec::new();
    for (level, shared) in kind.shared.iter().enumerate() {
        parts.push(draw_shared(place, level, shared, random));
    }
    parts.push(PromptPart {
        id: part_id(random.gen()),
        tokens: kind.own.draw(random),
    });
    let tokens_out = kind.out.draw(random);
    let patience = random.gen_range(0.0..1.0) * kind.deadline().0 as f64;
    let leaves = random.gen_bool(kind.leaving.clamp(0.0, 1.0));
    PromptCall {
        kind: place,
        at,
        front: random.gen_range(0..load.fronts),
        parts,
        tokens_out,
        leaves_at: leaves.then_some(at + Micros(patience as u64)),
        is_impatient: random.gen_bool(kind.impatient.clamp(0.0, 1.0)),
        spread: random.gen_range(0.0..1.0),
    }
}

fn draw_shared(
    place: usize,
    level: usize,
    shared: &PartSpec,
    random: &mut Pcg64,
) -> PromptPart {
    let law = Zipf::new(shared.subjects.max(1), shared.skew.max(0.0));
    let subject = law.map_or(1, |law| law.sample(random) as u64);
    let number = SUBJECT_SEED ^ (place as u64) << 48 ^ (level as u64) << 40 ^ subject;
    let mut of_subject = Pcg64::seed_from_u64(number);
    PromptPart {
        id: part_id(of_subject.gen()),
        tokens: shared.tokens.draw(&mut of_subject),
    }
}

fn part_id(number: u64) -> PartId {
    // Sixteen hex digits always parse.
    PartId::parse(&format!("{number:016x}")).expect("hex digits")
}
