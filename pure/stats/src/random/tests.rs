//! The output of the generator and the hash, compared with fixed values.

use super::*;

/// Compares with the first numbers of the reference implementation for this seed. Other numbers would move the homes of
/// objects in service.
#[test]
fn numbers_are_those_of_splitmix64_and_mix_is_its_output_by_state() {
    let mut rng = SeededRng::new(1_234_567);
    let numbers: [u64; 3] = std::array::from_fn(|_| rng.next_u64());
    assert_eq!(
        numbers,
        [
            6_457_827_717_110_365_317,
            3_203_168_211_198_807_973,
            9_817_491_932_198_370_423
        ]
    );
    assert_eq!(mix(1_234_567u64.wrapping_add(STATE_STEP)), numbers[0]);
    let reference = |mut x: u64| {
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    };
    for k in 0..1_000u64 {
        let x = k.wrapping_mul(STATE_STEP) ^ (k << 50);
        assert_eq!(mix(x), reference(x));
    }
}
