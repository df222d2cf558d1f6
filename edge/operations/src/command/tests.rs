//! Lines as commands, whole and in pieces.

use super::*;
use proptest::prelude::*;

#[test]
fn each_command_by_its_words() {
    assert_eq!(parse(b"status"), Ok(Command::Status));
    assert_eq!(parse(b"  stats "), Ok(Command::Stats));
    assert_eq!(
        parse(b"maint-on s-0a1b2c3d"),
        Ok(Command::MaintenanceOn("s-0a1b2c3d".into()))
    );
    assert_eq!(
        parse(b"maint-off s-0a1b2c3d"),
        Ok(Command::MaintenanceOff("s-0a1b2c3d".into()))
    );
}

#[test]
fn bad_lines_are_errors_with_a_reason() {
    assert_eq!(parse(b""), Err(CommandError::Empty));
    assert_eq!(parse(b"maint-on"), Err(CommandError::MissingId("maint-on")));
    assert_eq!(
        parse(b"maint-on a b"),
        Err(CommandError::TooManyWords("maint-on"))
    );
    assert_eq!(
        parse(b"status now"),
        Err(CommandError::TooManyWords("status"))
    );
    assert!(matches!(parse(b"reboot"), Err(CommandError::Unknown(_))));
    assert_eq!(parse(&[0xff, 0xfe]), Err(CommandError::NotText));
    assert_eq!(
        parse(&[b'a'; MAX_COMMAND_BYTES + 1]),
        Err(CommandError::TooLong)
    );
}

#[test]
fn a_line_too_long_is_one_error_and_the_next_command_is_read() {
    let mut reader = CommandReader::default();
    let mut sent = vec![b'x'; 100_000];
    sent.extend_from_slice(b"\nstatus\r\nsta");
    assert_eq!(
        reader.read(&sent),
        vec![Err(CommandError::TooLong), Ok(Command::Status)]
    );
    assert!(reader.has_partial_line());
    assert_eq!(reader.read(b"ts\n"), vec![Ok(Command::Stats)]);
    assert!(!reader.has_partial_line());
}

proptest! {
    #[test]
    fn any_bytes_in_any_pieces_give_one_answer_a_line_and_hold_little(
        bytes in proptest::collection::vec(any::<u8>(), 0..4000),
        cut in 0usize..4000,
    ) {
        let cut = cut.min(bytes.len());
        let mut reader = CommandReader::default();
        let mut commands = reader.read(&bytes[..cut]);
        commands.extend(reader.read(&bytes[cut..]));
        let lines: Vec<&[u8]> = bytes.split(|b| *b == b'\n').collect();
        let (complete, rest) = lines.split_at(lines.len() - 1);
        let expected = complete.len() + usize::from(rest[0].len() > MAX_COMMAND_BYTES + 1);
        prop_assert_eq!(commands.len(), expected);
        prop_assert!(reader.partial_line.len() <= MAX_COMMAND_BYTES + 1);
    }
}
