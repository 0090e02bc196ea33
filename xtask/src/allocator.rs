//! A global allocator that counts allocated bytes, for measurements of memory per item.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering},
};

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, extended by a count of the allocated bytes.
struct CountingAllocator;

#[expect(unsafe_code, reason = "an allocator is an unsafe trait")]
// SAFETY: Each call is forwarded to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns the value that `build` returns and the number of bytes that stay allocated for it.
pub(crate) fn measure_bytes<T, F: FnOnce() -> T>(build: F) -> (T, usize) {
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let value = build();
    let after = ALLOCATED_BYTES.load(Ordering::Relaxed);
    (value, after.saturating_sub(before))
}
