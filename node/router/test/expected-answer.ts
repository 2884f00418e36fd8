import {createToken} from '@valvesaddle/fake-engine';

/**
 The complete answer of a fake engine with the given number of tokens.

 @example
 getExpectedAnswer(2); // 't0 t1 '
 */
export function getExpectedAnswer(tokens: number): string {
	return Array.from({length: tokens}, (_, index) => createToken(index)).join('');
}
