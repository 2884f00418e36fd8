import {formatTable} from '@valvesaddle/bench-harness';
import {formatRecord, parseRecord, validateConfiguration} from '@valvesaddle/config-schema';
import type {ConfigurationRecord} from '@valvesaddle/types';
import {createFullConfiguration} from './create-full-configuration.ts';

const parts = [0.1, 0.25, 0.5, 1];
const rounds = 10;
const rememberedChanges = 500;

/**
 Measures a configuration of the size designed for: its size as stored, and the time to check, write and read it.

 @example
 console.log(await measureConfiguration());
 */
export async function measureConfiguration(): Promise<string> {
	const rows = parts.map(part => {
		const configuration = createFullConfiguration(part);
		const record: ConfigurationRecord = {
			revision: 1,
			changeId: 'change',
			author: 'bench',
			acceptedAt: Date.now(),
			recentChanges: Array.from({length: rememberedChanges}, (_, revision) => ({changeId: crypto.randomUUID(), revision})),
			configuration,
		};
		const text = formatRecord(record);
		return [
			`${part * 100} %`,
			`${(JSON.stringify(record).length / 1000).toFixed(0)} KB`,
			`${(text.length / 1000).toFixed(0)} KB`,
			measureTime(() => validateConfiguration(configuration)),
			measureTime(() => formatRecord(record)),
			measureTime(() => parseRecord(text)),
		];
	});
	return formatTable(['of the size', 'as JSON', 'as stored', 'check', 'write', 'read'], rows);
}

function measureTime(run: () => unknown): string {
	run();
	const startedAt = performance.now();
	for (let round = 0; round < rounds; round++) {
		run();
	}

	return `${((performance.now() - startedAt) / rounds).toFixed(1)} ms`;
}
