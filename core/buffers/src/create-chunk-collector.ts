import {Buffer} from 'node:buffer';
import type {ChunkCollector} from './chunk-collector.ts';

/**
Chunks of this many bytes are kept as they are: the object that refers to one costs little beside it.
*/
const largeChunkBytes = 4096;
/**
Sizes of the blocks into which smaller chunks are copied, in bytes. A new block is as large as all that is kept already, within these
bounds.
*/
const minimumBlockBytes = 1024;
const maximumBlockBytes = 65_536;

const emptyBuffer = Buffer.alloc(0);

/**
 Creates the collector of a body's chunks. Each chunk object costs some 150 bytes, so small chunks are copied into blocks: the memory
 of a body is at most about twice its bytes, however its sender divides it.

 @example
 const body = createChunkCollector();
 body.push(Buffer.from('a'));
 body.push(Buffer.from('b'));
 body.take(); // the bytes of 'ab'
 */
export function createChunkCollector(): ChunkCollector {
	let parts: Uint8Array[] = [];
	/**
	A single chunk, which is copied only if another one follows.
	*/
	let first: Uint8Array | undefined;
	let block = emptyBuffer;
	let blockUsed = 0;
	let bytes = 0;
	let heldBytes = 0;
	let lastByte: number | undefined;

	/**
	Ends the part of the block that is used; the rest is left to later chunks.
	*/
	function endPart(): void {
		if (blockUsed === 0) {
			return;
		}

		parts.push(block.subarray(0, blockUsed));
		block = block.subarray(blockUsed);
		blockUsed = 0;
	}

	function openBlock(): void {
		endPart();
		block = Buffer.allocUnsafeSlow(Math.min(maximumBlockBytes, Math.max(minimumBlockBytes, heldBytes)));
		heldBytes += block.length;
	}

	function addToBlock(chunk: Uint8Array): void {
		let from = 0;
		while (from < chunk.length) {
			if (blockUsed === block.length) {
				openBlock();
			}

			const part = chunk.subarray(from, from + block.length - blockUsed);
			block.set(part, blockUsed);
			blockUsed += part.length;
			from += part.length;
		}
	}

	function addChunk(chunk: Uint8Array): void {
		if (chunk.length < largeChunkBytes) {
			addToBlock(chunk);
			return;
		}

		endPart();
		parts.push(chunk);
		heldBytes += chunk.length;
	}

	function addFirst(): void {
		const chunk = first;
		first = undefined;
		if (chunk !== undefined) {
			addChunk(chunk);
		}
	}

	return {
		push(chunk) {
			if (chunk.length === 0) {
				return;
			}

			addFirst();
			if (bytes === 0) {
				first = chunk;
			} else {
				addChunk(chunk);
			}

			bytes += chunk.length;
			lastByte = chunk.at(-1);
		},
		countBytes: () => bytes,
		measureHeld: () => heldBytes + (first?.length ?? 0),
		lastByte: () => lastByte,
		take() {
			endPart();
			const whole = first ?? Buffer.concat(parts, bytes);
			parts = [];
			first = undefined;
			block = emptyBuffer;
			bytes = 0;
			heldBytes = 0;
			lastByte = undefined;
			return whole;
		},
	};
}
