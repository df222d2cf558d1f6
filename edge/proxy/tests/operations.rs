//! Operation of the proxy as a process: the admin interface, reloads, and a new version beside the old one.

use admin_process::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

#[path = "common/admin_process.rs"]
mod admin_process;
mod common;

#[test]
fn the_admin_interface_answers_each_command_and_an_invalid_one_affects_no_other() {
    let (file, _caches, _journal) = write_config("commands");
    let proxy = start(&file, None).unwrap();
    let admin_address = proxy.admin_address;
    // A connection with an incomplete command delays no other.
    let mut silent = TcpStream::connect(admin_address).unwrap();
    silent.write_all(b"sta").unwrap();
    assert_eq!(send_command(admin_address, b"status\n"), "done yes\n");
    let stats = send_command(admin_address, b"stats\n");
    for figure in [
        "proxy.answered.sheet:0|c",
        "proxy.sends.record:0|c",
        "proxy.current:0|g",
        "proxy.cluster_size:3|g",
    ] {
        assert!(
            stats.lines().any(|line| line == figure),
            "{figure} in {stats}"
        );
    }
    assert!(stats.ends_with("proxy.conf_invalid:0|c\nend\n"), "{stats}");
    assert!(send_command(admin_address, b"reboot\n").starts_with("error no call"));
    assert!(send_command(admin_address, b"maint-on s-0000cafe\n").starts_with("error no pop cache"));
    assert!(
        send_command(admin_address, &[b'x'; 10_000]).starts_with("error"),
        "a line that is too long, without its end"
    );
    // The same cache is taken out twice and brought back once; the connection stays usable after an invalid command.
    let stream = TcpStream::connect(admin_address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    (&stream)
        .write_all(b"maint-on s-00000001\nmaint-on s-00000001\nnonsense\nstats\n")
        .unwrap();
    let mut reader = BufReader::new(stream);
    let mut lines = Vec::new();
    while lines.last().map(String::as_str) != Some("end") {
        let mut line = String::new();
        assert!(reader.read_line(&mut line).unwrap() > 0, "{lines:?}");
        lines.push(line.trim_end().to_string());
    }
    assert_eq!(
        &lines[..3],
        [
            "done s-00000001 is out",
            "done s-00000001 is out",
            "error no call \"nonsense\"; calls: status, stats, maint-on ID, maint-off ID"
        ]
    );
    assert!(
        lines.contains(&"proxy.cluster_unhealthy:1|g".to_string()),
        "{lines:?}"
    );
    assert_eq!(
        send_command(admin_address, b"maint-off s-00000001\n"),
        "done s-00000001 is back\n"
    );
    assert!(send_command(admin_address, b"stats\n").contains("proxy.cluster_unhealthy:0|g\n"));
    silent.write_all(b"tus\n").unwrap();
    let mut response = [0; 9];
    silent.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    silent.read_exact(&mut response).unwrap();
    assert_eq!(&response, b"done yes\n");
    drop(proxy);
    let _ = std::fs::remove_file(file);
}

#[test]
fn a_new_version_listens_beside_the_old_one_on_the_same_address() {
    let (file, _caches, _journal) = write_config("beside");
    let tmp = std::env::temp_dir().join(format!("foldmux-admin-tmp-{}", std::process::id()));
    std::fs::create_dir_all(&tmp).unwrap();
    let old = start_with_tmpdir(&file, None, Some(&tmp)).unwrap();
    assert!(send_command(old.admin_address, b"maint-on s-00000002\n").starts_with("done"));
    let new = start_with_tmpdir(&file, Some(old.client_address), Some(&tmp))
        .expect("a second process on the same address");
    assert_eq!(new.client_address, old.client_address);
    assert_eq!(send_command(new.admin_address, b"status\n"), "done yes\n");
    // Caches in maintenance before the new process started are so there too; later changes apply to both processes.
    assert!(send_command(new.admin_address, b"stats\n").contains("proxy.cluster_unhealthy:1|g\n"));
    assert!(send_command(new.admin_address, b"maint-on s-00000001\n").starts_with("done"));
    assert!(send_command(old.admin_address, b"stats\n").contains("proxy.cluster_unhealthy:2|g\n"));
    assert!(send_command(new.admin_address, b"maint-off s-00000002\n").starts_with("done"));
    assert!(send_command(old.admin_address, b"stats\n").contains("proxy.cluster_unhealthy:1|g\n"));
    // The old process shuts down on SIGTERM, and the new one continues to accept clients.
    let id = old.child.id().to_string();
    assert!(std::process::Command::new("kill")
        .args(["-TERM", &id])
        .status()
        .unwrap()
        .success());
    let shut_down = std::iter::from_fn(|| old.log.recv_timeout(TEST_TIMEOUT).ok())
        .find(|l| l.contains("shut down "));
    assert!(shut_down.is_some());
    for _ in 0..20 {
        TcpStream::connect(new.client_address).expect("the new process accepts clients");
    }
    let _ = std::fs::remove_file(file);
    let _ = std::fs::remove_dir_all(tmp);
}

#[test]
fn an_invalid_configuration_at_sighup_leaves_the_settings_unchanged_and_is_counted() {
    let (file, caches, journal) = write_config("invalid");
    let proxy = start(&file, None).unwrap();
    let valid = common::config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    let reload = |text: &str| proxy.reload(&file, text);
    let broken = [
        String::new(),
        valid[..valid.len() / 2].to_string(),
        valid.replace("\"listen\"", "\"lisen\""),
        valid.replace("\"hardLimit\":30000000", "\"hardLimit\":0"),
        valid.replace("\"maxAttempts\":4", "\"maxAttempts\":0"),
    ];
    for text in &broken {
        let log_line = reload(text);
        assert!(log_line.ends_with("all stays as it was"), "{text}");
        assert!(
            log_line.contains("WARN"),
            "operators who filter at WARN must see it: {log_line}"
        );
    }
    let stats = send_command(proxy.admin_address, b"stats\n");
    assert!(
        stats.contains("proxy.conf_invalid:5|c\n") && stats.contains("proxy.conf_loaded:0|c\n"),
        "{stats}"
    );
    assert!(!stats.contains(".video:"), "{stats}");
    // A valid file adds a class and changes another one's settings.
    let added = valid.replace(
        r#"{"name":"sheet","slo":20000000,"hardLimit":30000000,"#,
        r#"{"name":"video","slo":20000000,"hardLimit":30000000,"idempotency":"free"},{"name":"sheet","slo":10000000,"hardLimit":20000000,"#,
    );
    let log_line =
        reload(&added.replace("\"passOn\":[false,true]", "\"passOn\":[false,false,true]"));
    assert!(
        log_line.contains("classes video, sheet, record"),
        "{log_line}"
    );
    let stats = send_command(proxy.admin_address, b"stats\n");
    assert!(
        stats.contains("proxy.answered.video:0|c\n") && stats.contains("proxy.conf_loaded:1|c\n"),
        "{stats}"
    );
    assert_eq!(send_command(proxy.admin_address, b"status\n"), "done yes\n");
    drop(proxy);
    let _ = std::fs::remove_file(file);
}

#[test]
fn a_configuration_without_a_journal_service_is_accepted_at_start_and_at_sighup() {
    let (file, caches, journal) = write_config("without-journal");
    let with_journal = common::config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    let journal_entry = format!("\"journal\":\"{}\",", journal.local_addr().unwrap());
    let without_journal = with_journal.replace(&journal_entry, "");
    assert_ne!(without_journal, with_journal);
    std::fs::write(&file, &without_journal).unwrap();
    let proxy = start(&file, None).unwrap();
    assert_eq!(send_command(proxy.admin_address, b"status\n"), "done yes\n");
    let log_line = proxy.reload(&file, &without_journal);
    assert!(
        log_line.ends_with("no journal service: the list stays as it is"),
        "{log_line}"
    );
    // A later reload names a journal service, which is polled from then on.
    let log_line = proxy.reload(&file, &with_journal);
    assert!(log_line.contains("the journal service is at"), "{log_line}");
    let (mut poll, _) = journal.accept().unwrap();
    let mut start_of_request = [0; 12];
    poll.read_exact(&mut start_of_request).unwrap();
    assert_eq!(&start_of_request, b"GET /journal");
    let stats = send_command(proxy.admin_address, b"stats\n");
    assert!(
        stats.contains("proxy.conf_loaded:2|c\nproxy.conf_invalid:0|c\n"),
        "{stats}"
    );
    drop(proxy);
    let _ = std::fs::remove_file(file);
}

#[test]
fn seventy_reloads_that_change_a_class_are_all_accepted() {
    let (file, caches, journal) = write_config("seventy");
    let proxy = start(&file, None).unwrap();
    let valid = common::config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    for n in 1..=70 {
        let changed = valid.replace(
            "\"hardLimit\":30000000",
            &format!("\"hardLimit\":{}", 30_000_000 + n),
        );
        assert_ne!(changed, valid);
        let log_line = proxy.reload(&file, &changed);
        assert!(
            log_line.contains("classes sheet, record"),
            "reload {n}: {log_line}"
        );
    }
    drop(proxy);
    let _ = std::fs::remove_file(file);
}
