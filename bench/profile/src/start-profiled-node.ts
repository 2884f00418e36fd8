import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import type {ProfiledNode} from './profiled-node.ts';

type NodeOptions = {
	readonly name: string;
	/**
	Bundle of what a gateway node runs.
	*/
	readonly program: string;
	/**
	The binary to run in place of the bundle.
	*/
	readonly binary: string | undefined;
	readonly store: string;
	readonly callers: string;
	readonly ready: string;
	readonly peers: string;
	/**
	Folder for its settings and profile.
	*/
	readonly folder: string;
	/**
	Whether it writes a profile; the sampling costs more than an idle node.
	*/
	readonly isSampled: boolean;
	/**
	Flags of the runtime beside those of the binary.
	*/
	readonly flags: readonly string[];
};

/**
Time between two looks at what a node does, in microseconds.
*/
const sampleUs = 500;

/**
 Starts a gateway node that writes a profile of its processor time when it leaves.

 @example
 const node = await startProfiledNode({name: 'n0', program, binary: undefined, store, callers, ready, peers, folder, isSampled: true, flags: []});
 await node.stop();
 */
export async function startProfiledNode({name, program, binary, store, callers, ready, peers, folder, isSampled, flags}: NodeOptions): Promise<ProfiledNode> {
	const settings = path.join(folder, `${name}.toml`);
	const profile = path.join(folder, `${name}.cpuprofile`);
	await writeFile(settings, `
		[node]
		name = "${name}"
		data_centre = "a"
		region = "r"
		[listen]
		callers = "${callers}"
		ready = "${ready}"
		peers = "${peers}"
		[store]
		address = "${store}"
		[drain]
		grace_s = 4
		balancer_ms = 1
	`);
	const profiler = isSampled ? ['--cpu-prof', `--cpu-prof-interval=${sampleUs}`, `--cpu-prof-dir=${folder}`, `--cpu-prof-name=${name}.cpuprofile`] : [];
	const words = ['gateway', '--settings', settings];
	const run = `require(${JSON.stringify(program)}).run(${JSON.stringify(words)}).then(code => process.exit(code))`;
	const child = binary === undefined
		? spawn(process.execPath, [...flags, ...profiler, '--eval', run], {stdio: ['ignore', 'ignore', 'inherit']})
		: spawn(binary, words, {stdio: ['ignore', 'ignore', 'inherit']});
	return {
		callers,
		profile,
		pid: () => child.pid ?? 0,
		async stop() {
			const gone = once(child, 'exit');
			child.kill('SIGTERM');
			await gone;
		},
	};
}
