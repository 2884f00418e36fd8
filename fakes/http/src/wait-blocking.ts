/**
 Blocks the event loop: no timer runs and no socket is read meanwhile.

 @example
 waitBlocking(200);
 */
export function waitBlocking(milliseconds: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}
