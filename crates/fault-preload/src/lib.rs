//! Functions of the C library that fail by a plan, for one process under test that this library is preloaded into.
//!
//! Each function here does what the C library's does, unless the plan in `ALDERWAY_FAULTS` has it fail first, with an
//! error that Linux documents for it. The plan's times count from the first call.

use alderway_fault_injection::{HELD_IN_SEND, Kind, Plan, VARIABLE};
use libc::{c_char, c_int, c_void, clockid_t, iovec, msghdr, off_t, size_t, sockaddr, socklen_t, ssize_t};
use std::mem::transmute;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// How long `hold` keeps a call back, in microseconds.
const HELD_US: u32 = 150_000;
/// A hold that took so much longer, in seconds, is told: the process stood still within it.
const PROLONGED_S: f64 = 0.01;
/// Half a period of a wall clock that goes to and fro, in seconds.
const WOBBLE: f64 = 0.005;

/// The plan and when it began, on the monotonic clock.
struct Injector {
    plan: Plan,
    began: f64,
    draws: AtomicU64,
    /// Calls so far that changed a file on a disk.
    disk_calls: AtomicU64,
}

static INJECTOR: OnceLock<Option<Injector>> = OnceLock::new();

/// The C library's own function of a name.
macro_rules! real {
    ($name:literal, $kind:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        let address = *FOUND.get_or_init(|| {
            // SAFETY: the name is a string that ends in zero.
            unsafe { libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast::<c_char>()) as usize }
        });
        assert!(address != 0, concat!("no function ", $name));
        // SAFETY: the C library's function of that name has this type.
        unsafe { transmute::<usize, $kind>(address) }
    }};
}

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut libc::timespec) -> c_int;

/// The monotonic clock, in seconds.
fn monotonic() -> f64 {
    let mut at = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    let clock_gettime = real!("clock_gettime", ClockGettime);
    // SAFETY: `at` is a valid place for the time.
    unsafe { clock_gettime(libc::CLOCK_MONOTONIC, &mut at) };
    at.tv_sec as f64 + at.tv_nsec as f64 / 1e9
}

fn injector() -> Option<&'static Injector> {
    let begin = || {
        let text = std::env::var(VARIABLE).ok()?;
        let plan = Plan::parse(&text).unwrap_or_else(|why| panic!("{VARIABLE}: {why}"));
        let draws = AtomicU64::new(plan.seed);
        Some(Injector { plan, began: monotonic(), draws, disk_calls: AtomicU64::new(0) })
    };
    INJECTOR.get_or_init(begin).as_ref()
}

impl Injector {
    fn active(&self, kind: Kind) -> Option<f64> {
        self.plan.active(kind, monotonic() - self.began)
    }

    /// The next number of the plan's chance (SplitMix64).
    fn draw(&self) -> u64 {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut mixed = self.draws.fetch_add(STEP, Relaxed).wrapping_add(STEP);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn happens(&self, kind: Kind) -> bool {
        let chance = |share: f64| ((self.draw() >> 11) as f64) / ((1u64 << 53) as f64) < share;
        self.active(kind).is_some_and(chance)
    }
}

fn happens(kind: Kind) -> bool {
    injector().is_some_and(|injector| injector.happens(kind))
}

fn fail<T: From<i8>>(errno: c_int) -> T {
    // SAFETY: the place of this thread's error number is always valid.
    unsafe { *libc::__errno_location() = errno };
    T::from(-1)
}

/// Keeps a call back. One that takes longer than it should, as the process is stopped within it, is told on the standard
/// error output, with its times on the monotonic clock.
fn hold() {
    let from = monotonic();
    // SAFETY: sleeping is always sound.
    unsafe { libc::usleep(HELD_US) };
    let until = monotonic();
    if until - from > f64::from(HELD_US) / 1e6 + PROLONGED_S {
        let line = format!("{HELD_IN_SEND} {from:.6} {until:.6}\n");
        // SAFETY: the line is valid for its length. By its number, so that no plan makes it fail.
        unsafe { libc::syscall(libc::SYS_write, libc::STDERR_FILENO, line.as_ptr(), line.len()) };
    }
}

/// How much of a transfer is allowed.
fn shortened(length: size_t) -> size_t {
    match injector() {
        Some(injector) if length > 1 && injector.happens(Kind::Short) => {
            1 + (injector.draw() as size_t) % (length - 1)
        }
        _ => length,
    }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, space: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if happens(Kind::Interrupt) {
        return fail(libc::EINTR);
    }
    let recv = real!("recv", unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    unsafe { recv(fd, space, shortened(length), flags) }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    if happens(Kind::Interrupt) {
        return fail(libc::EINTR);
    }
    let recvmsg = real!("recvmsg", unsafe extern "C" fn(c_int, *mut msghdr, c_int) -> ssize_t);
    unsafe { recvmsg(fd, message, flags) }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if happens(Kind::Hold) {
        hold();
    }
    if happens(Kind::Interrupt) {
        return fail(libc::EINTR);
    }
    if happens(Kind::NoBuffers) {
        return fail(libc::ENOBUFS);
    }
    let send = real!("send", unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    unsafe { send(fd, bytes, shortened(length), flags) }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(injector) = injector().filter(|injector| injector.happens(Kind::Accept)) {
        let errors = [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR];
        return fail(errors[injector.draw() as usize % errors.len()]);
    }
    let accept = real!("accept4", unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    unsafe { accept(fd, address, length, flags) }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if happens(Kind::NoPort) {
        return fail(libc::EADDRNOTAVAIL);
    }
    if happens(Kind::NoRoute) {
        return fail(libc::ENETUNREACH);
    }
    let connect = real!("connect", unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    unsafe { connect(fd, address, length) }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && happens(Kind::NoSocket) {
        return fail(libc::ENFILE);
    }
    let socket = real!("socket", unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    unsafe { socket(domain, kind, protocol) }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, at: *mut libc::timespec) -> c_int {
    let real = real!("clock_gettime", ClockGettime);
    let done = unsafe { real(clock, at) };
    if clock != libc::CLOCK_REALTIME || done != 0 {
        return done;
    }
    let Some(injector) = injector() else { return done };
    let mut offset = injector.active(Kind::Wall).unwrap_or(0.0);
    if let Some(span) = injector.active(Kind::Wobble) {
        let ahead = (monotonic() / WOBBLE) as u64 % 2 == 1;
        offset += if ahead { span } else { 0.0 };
    }
    // SAFETY: the caller's place for the time is valid, as the call above has written to it.
    unsafe {
        let nanos = (*at).tv_nsec as f64 + offset.fract() * 1e9;
        let carry = (nanos / 1e9).floor();
        (*at).tv_sec += offset.trunc() as i64 + carry as i64;
        (*at).tv_nsec = (nanos - carry * 1e9) as i64;
    }
    done
}

/// Ends the process where the plan says so: before the call that comes now, which changes a file on a disk.
fn count_disk_call() {
    let Some(injector) = injector() else { return };
    let Some(last) = injector.active(Kind::Exit) else { return };
    if injector.disk_calls.fetch_add(1, Relaxed) + 1 >= last as u64 {
        // SAFETY: ending the process is always sound.
        unsafe { libc::kill(libc::getpid(), libc::SIGKILL) };
    }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(fd: c_int, length: off_t) -> c_int {
    count_disk_call();
    let ftruncate = real!("ftruncate64", unsafe extern "C" fn(c_int, off_t) -> c_int);
    unsafe { ftruncate(fd, length) }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    count_disk_call();
    let rename = real!("rename", unsafe extern "C" fn(*const c_char, *const c_char) -> c_int);
    unsafe { rename(from, to) }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    count_disk_call();
    if happens(Kind::Sync) {
        return fail(libc::EIO);
    }
    let fsync = real!("fsync", unsafe extern "C" fn(c_int) -> c_int);
    unsafe { fsync(fd) }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    count_disk_call();
    if happens(Kind::Sync) {
        return fail(libc::EIO);
    }
    let fdatasync = real!("fdatasync", unsafe extern "C" fn(c_int) -> c_int);
    unsafe { fdatasync(fd) }
}

/// Whether a descriptor is that of a file on a disk.
fn is_file(fd: c_int) -> bool {
    // SAFETY: all zeros are a valid value, and `about` is a valid place for the answer.
    unsafe {
        let mut about: libc::stat = std::mem::zeroed();
        libc::fstat(fd, &mut about) == 0 && about.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// What a write to a file may transfer: all, half before the disk is full, or nothing.
fn disk_takes(fd: c_int, length: size_t) -> Option<size_t> {
    if is_file(fd) {
        count_disk_call();
    }
    match injector() {
        Some(injector) if is_file(fd) && injector.happens(Kind::NoSpace) => {
            (length > 1 && injector.draw() % 2 == 0).then_some(length / 2)
        }
        _ => Some(length),
    }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    let Some(length) = disk_takes(fd, length) else { return fail(libc::ENOSPC) };
    let write = real!("write", unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    unsafe { write(fd, bytes, length) }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(fd: c_int, bytes: *const c_void, length: size_t, at: off_t) -> ssize_t {
    let Some(length) = disk_takes(fd, length) else { return fail(libc::ENOSPC) };
    let pwrite = real!("pwrite64", unsafe extern "C" fn(c_int, *const c_void, size_t, off_t) -> ssize_t);
    unsafe { pwrite(fd, bytes, length, at) }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if is_file(fd) && happens(Kind::NoSpace) {
        return fail(libc::ENOSPC);
    }
    let writev = real!("writev", unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t);
    unsafe { writev(fd, parts, count) }
}
