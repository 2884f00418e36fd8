import {createToken} from '@valvesaddle/fake-engine';

/**
 The whole answer of the stand-in engines with so many tokens.

 @example
 getExpectedAnswer(2); // 't0 t1 '
 */
export function getExpectedAnswer(tokens: number): string {
	return Array.from({length: tokens}, (_, index) => createToken(index)).join('');
}
