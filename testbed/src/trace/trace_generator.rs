use {
    super::TraceRow,
    pitchhitch_core::kv_cache::PIECE_TOKENS,
    rand::{distributions::WeightedIndex, prelude::Distribution, Rng, SeedableRng},
    rand_pcg::Pcg32,
};

const MS_PER_MINUTE: f64 = 60_000.0;

/// Parameters of a generated trace.
#[derive(Debug, Clone, Copy)]
pub struct TraceShape {
    /// Prefix of organisation names.
    pub deployment: &'static str,
    /// Number of organisations; the first ones send the most requests.
    pub organisations: usize,
    /// Documents per organisation.
    pub documents: usize,
    /// Minimum and maximum blocks of a document.
    pub document_blocks: [u32; 2],
    /// Minimum and maximum tokens of the question that follows the document.
    pub question_tokens: [u32; 2],
    /// Minimum and maximum output tokens.
    pub answer_tokens: [u32; 2],
    /// Median time between two requests about a document, in minutes, for each label.
    pub median_reuse_gap_minutes: [f64; 3],
    /// Standard deviation of the natural logarithm of these times.
    pub gap_sigma: f64,
    /// Probability that another request about the document follows.
    pub reuse_probability: f64,
    /// Fraction of the requests that go to the plain service.
    pub service_fraction: f64,
    /// Fraction of the service requests that are not repeatable.
    pub non_repeatable_fraction: f64,
    /// Labels of the prompts.
    pub labels: [&'static str; 3],
    /// Length of the trace, in hours.
    pub hours: f64,
    /// Documents that get a first request in the trace.
    pub first_requests: usize,
}

impl TraceShape {
    /// Shop staff and tills: documents of medium size, reused after minutes to hours.
    pub const MVINYO: TraceShape = TraceShape {
        deployment: "mvinyo",
        organisations: 10,
        documents: 12,
        document_blocks: [6, 20],
        question_tokens: [40, 300],
        answer_tokens: [8, 32],
        median_reuse_gap_minutes: [120.0, 420.0, 1_500.0],
        gap_sigma: 1.0,
        reuse_probability: 0.75,
        service_fraction: 0.25,
        non_repeatable_fraction: 0.5,
        labels: ["price-list", "buyer-reply", "allocation"],
        hours: 72.0,
        first_requests: 400,
    };

    /// Farmers, clerks and surveyors: long parcel files, reused after hours to days.
    pub const FIELD_BOUNDARY: TraceShape = TraceShape {
        deployment: "field",
        organisations: 10,
        documents: 10,
        document_blocks: [16, 48],
        question_tokens: [60, 400],
        answer_tokens: [8, 40],
        median_reuse_gap_minutes: [240.0, 900.0, 2_400.0],
        gap_sigma: 0.9,
        reuse_probability: 0.8,
        service_fraction: 0.2,
        non_repeatable_fraction: 0.4,
        labels: ["parcel-file", "claim-check", "survey-note"],
        hours: 96.0,
        first_requests: 230,
    };
}

/// Generates a trace; the same shape and seed give the same trace.
///
/// The first request about a document arrives at a uniformly random time and comes
/// from an organisation drawn by size (the n-th largest has weight 1/n). After each
/// request another one follows with a fixed probability; the time until then has a
/// log-normal distribution around the median of the document's label. Requests to
/// the plain service arrive uniformly over the trace.
pub fn generate_trace(
    shape: &TraceShape,
    seed: u64,
) -> Vec<TraceRow> {
    let mut random = Pcg32::seed_from_u64(seed);
    let end = shape.hours * 60.0 * MS_PER_MINUTE;
    let mut rows = Vec::new();
    let sizes: Vec<f64> = (1..=shape.organisations).map(|n| 1.0 / n as f64).collect();
    let Ok(by_size) = WeightedIndex::new(&sizes) else {
        return rows;
    };
    let mut next_block = seed << 32;
    for _ in 0..shape.first_requests {
        let document = Document::sample(shape, &by_size, &mut next_block, &mut random);
        document.generate_requests(shape, end, &mut next_block, &mut rows, &mut random);
    }
    let prompts = rows.len() as f64;
    let service_requests = prompts * shape.service_fraction / (1.0 - shape.service_fraction);
    for _ in 0..service_requests as usize {
        let organisation = by_size.sample(&mut random);
        rows.push(service_request(shape, organisation, end, &mut random));
    }
    rows.sort_by_key(|row| row.timestamp);
    rows
}

struct Document {
    organisation: usize,
    kind: usize,
    blocks: Vec<u64>,
}

impl Document {
    fn sample(
        shape: &TraceShape,
        by_size: &WeightedIndex<f64>,
        next_block: &mut u64,
        random: &mut Pcg32,
    ) -> Document {
        let [min, max] = shape.document_blocks;
        let count = random.gen_range(min..=max);
        let blocks = (0..count).map(|_| allocate_block(next_block)).collect();
        Document {
            organisation: by_size.sample(random),
            kind: random.gen_range(0..shape.labels.len()),
            blocks,
        }
    }

    fn generate_requests(
        &self,
        shape: &TraceShape,
        end: f64,
        next_block: &mut u64,
        rows: &mut Vec<TraceRow>,
        random: &mut Pcg32,
    ) {
        let mut at = random.gen_range(0.0..end);
        while at < end {
            rows.push(self.generate_request(shape, at, next_block, random));
            if !random.gen_bool(shape.reuse_probability) {
                return;
            }
            at += sample_gap(
                shape.median_reuse_gap_minutes[self.kind],
                shape.gap_sigma,
                random,
            );
        }
    }

    fn generate_request(
        &self,
        shape: &TraceShape,
        at: f64,
        next_block: &mut u64,
        random: &mut Pcg32,
    ) -> TraceRow {
        let question = sample_range(shape.question_tokens, random);
        let mut hash_ids = self.blocks.clone();
        hash_ids.push(allocate_block(next_block));
        TraceRow {
            timestamp: at as u64,
            input_length: self.blocks.len() as u32 * PIECE_TOKENS + question,
            output_length: sample_range(shape.answer_tokens, random),
            hash_ids,
            organisation: organisation_name(shape, self.organisation),
            label: shape.labels[self.kind].to_string(),
            repeatable: true,
        }
    }
}

fn service_request(
    shape: &TraceShape,
    organisation: usize,
    end: f64,
    random: &mut Pcg32,
) -> TraceRow {
    TraceRow {
        timestamp: random.gen_range(0.0..end) as u64,
        input_length: 0,
        output_length: 0,
        hash_ids: Vec::new(),
        organisation: organisation_name(shape, organisation),
        label: "service".to_string(),
        repeatable: !random.gen_bool(shape.non_repeatable_fraction),
    }
}

fn organisation_name(
    shape: &TraceShape,
    index: usize,
) -> String {
    format!("{}-{:02}", shape.deployment, index + 1)
}

fn allocate_block(next_block: &mut u64) -> u64 {
    *next_block += 1;
    *next_block
}

fn sample_range(
    bounds: [u32; 2],
    random: &mut Pcg32,
) -> u32 {
    random.gen_range(bounds[0]..=bounds[1])
}

/// Samples a log-normal time between two requests, in milliseconds, by the
/// Box-Muller transform.
fn sample_gap(
    median_minutes: f64,
    spread: f64,
    random: &mut Pcg32,
) -> f64 {
    let u: f64 = random.gen_range(f64::EPSILON..1.0);
    let v: f64 = random.gen();
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    median_minutes * MS_PER_MINUTE * (spread * normal).exp()
}
