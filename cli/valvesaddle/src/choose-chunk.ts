import type {ChunkName} from './chunk-name.ts';

/**
Words after `gateway` that need no parser of commands: none, or a settings file.
*/
const plainWords: ReadonlySet<number> = new Set([0, 2]);

/**
 Tells which part of the program runs a command. A gateway node loads only what it runs: memory and start-up time count on small
 machines. Whatever is not plain, such as a question for help, is left to the parser of commands.

 @example
 chooseChunk(['status']); // 'program'
 */
export function chooseChunk([command, ...words]: readonly string[]): ChunkName {
	const isPlain = plainWords.has(words.length) && (words.length === 0 || words[0] === '--settings');
	return command === 'gateway' && isPlain ? 'gateway' : 'program';
}
