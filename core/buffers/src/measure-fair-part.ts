/**
 Measures the most that one of several client accounts may hold, max-min fair: accounts that want less keep what they want, and
 the others share the rest evenly. One more account that holds nothing yet is counted, so that there is room when it comes.

 @param limitBytes - Bytes to share.
 @param wanted - Bytes that each account holds or asks for.
 @example
 measureFairPart(90, [10, 100]); // 40
 */
export function measureFairPart(limitBytes: number, wanted: readonly number[]): number {
	let left = limitBytes;
	let sharers = wanted.length + 1;
	for (const bytes of wanted.toSorted((a, b) => a - b)) {
		if (bytes > left / sharers) {
			break;
		}

		left -= bytes;
		sharers--;
	}

	return left / sharers;
}
