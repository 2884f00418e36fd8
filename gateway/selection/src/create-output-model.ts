import {createLengthModel} from '@valvesaddle/lengths';
import type {OutputModel} from './output-model.ts';

/**
Growth of the tokens per chunk with each answer, so that the estimate follows engines that put more into a chunk.
*/
const driftFactor = 1.01;
/**
Answers of a class before its lengths are used; its requests count by their maximum until then.
*/
const minimumAnswers = 32;

/**
 Creates the model of output tokens. An answer does not say how many tokens its chunks had. No request generates more than its
 maximum, so the answer with the fewest tokens of its maximum for each chunk shows how many a chunk has at most.

 @example
 const outputs = createOutputModel();
 outputs.record('digests', {chunks: 10, maximumTokens: 50});
 outputs.estimate('digests', 40); // at most 40
 */
export function createOutputModel(): OutputModel {
	const lengths = createLengthModel();
	const tokensPerChunk = new Map<string, number>();
	const answers = new Map<string, number>();

	return {
		estimate(className, maximumTokens) {
			const isLearned = (answers.get(className) ?? 0) >= minimumAnswers;
			const expected = isLearned || maximumTokens === 0 ? lengths.expect(className, 0) : maximumTokens;
			return maximumTokens > 0 ? Math.min(maximumTokens, expected) : expected;
		},
		record(className, {chunks, maximumTokens}) {
			if (chunks <= 0 || maximumTokens <= 0) {
				return;
			}

			const perChunk = Math.min((tokensPerChunk.get(className) ?? Infinity) * driftFactor, maximumTokens / chunks);
			tokensPerChunk.set(className, perChunk);
			answers.set(className, (answers.get(className) ?? 0) + 1);
			lengths.record(className, Math.min(maximumTokens, chunks * perChunk));
		},
	};
}
