import type {ChunkName} from './chunk-name.ts';

/**
Numbers of arguments after `gateway` that need no command parser: none, or `--settings FILE`.
*/
const plainArgumentCounts: ReadonlySet<number> = new Set([0, 2]);

/**
 Chooses the chunk that runs a command. A gateway node loads only its own chunk, to save memory and startup time. Other arguments,
 such as `--help`, need the command parser in `program`.

 @example
 chooseChunk(['status']); // 'program'
 */
export function chooseChunk([command, ...argv]: readonly string[]): ChunkName {
	const isPlain = plainArgumentCounts.has(argv.length) && (argv.length === 0 || argv[0] === '--settings');
	return command === 'gateway' && isPlain ? 'gateway' : 'program';
}
