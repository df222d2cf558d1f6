//! Fixed values of the seeded draws and the hash.

use super::*;

/// The reference's first numbers for this seed; a table of homes in service rests on them.
#[test]
fn draws_are_splitmix64_s_and_mix_is_its_output_by_state() {
    let mut draws = Draws::new(1_234_567);
    let drawn: [u64; 3] = std::array::from_fn(|_| draws.draw());
    assert_eq!(
        drawn,
        [
            6_457_827_717_110_365_317,
            3_203_168_211_198_807_973,
            9_817_491_932_198_370_423
        ]
    );
    assert_eq!(mix(1_234_567u64.wrapping_add(STEP)), drawn[0]);
    let by_hand = |mut x: u64| {
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    };
    for k in 0..1_000u64 {
        let x = k.wrapping_mul(STEP) ^ (k << 50);
        assert_eq!(mix(x), by_hand(x));
    }
}
