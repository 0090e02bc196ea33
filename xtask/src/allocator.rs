//! An allocator that counts the bytes in use, for measuring memory per item.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering},
};

static IN_USE: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator with a count of bytes.
struct Counting;

#[expect(unsafe_code, reason = "an allocator is an unsafe trait")]
// SAFETY: Each call is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Returns what a function builds and the bytes that it keeps in use.
pub(crate) fn bytes_of<T, F: FnOnce() -> T>(build: F) -> (T, usize) {
    let before = IN_USE.load(Ordering::Relaxed);
    let value = build();
    let after = IN_USE.load(Ordering::Relaxed);
    (value, after.saturating_sub(before))
}
