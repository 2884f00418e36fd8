import {hashKey} from '@valvesaddle/access';
import type {Configuration, Endpoint} from '@valvesaddle/types';
import {fleetKeys} from './fleet-keys.ts';

type DemoOptions = {
	readonly engineUrls: readonly string[];
	readonly serviceUrl: string;
};

/**
 A small configuration in the likeness of the users': three classes, two client accounts, one model, one plain service
 whose calls may not be repeated.

 @example
 createDemoConfiguration({engineUrls: ['http://127.0.0.1:8000'], serviceUrl: 'http://127.0.0.1:8001'});
 */
export function createDemoConfiguration({engineUrls, serviceUrl}: DemoOptions): Configuration {
	const classNames = ['gate', 'route', 'estimate'];
	const engines = engineUrls.map((url, index): Endpoint => ({
		id: `engine-${index + 1}`, pool: 'drafting', url, dataCentre: 'dc-1', initialLimit: 8, leaving: false,
	}));
	return {
		classes: [
			{
				name: 'gate', priority: 0, urgent: true, firstTokenTargetMs: 1000, maximumWaitMs: 10_000, weight: 1, floor: 0,
			},
			{
				name: 'route', priority: 1, urgent: false, firstTokenTargetMs: 4000, maximumWaitMs: 4000, weight: 2, floor: 0.05,
			},
			{
				name: 'estimate', priority: 2, urgent: false, firstTokenTargetMs: 10_000, maximumWaitMs: 10_000, weight: 1, floor: 0.05,
			},
		],
		accounts: [
			{
				name: 'sawmill', keyHashes: [hashKey(fleetKeys.caller)], weight: 1, maximumOpen: 0,
			},
			{
				name: 'depot', keyHashes: [hashKey(fleetKeys.otherCaller)], weight: 1, maximumOpen: 0,
			},
		],
		pools: [
			{
				name: 'drafting', kind: 'engine', model: 'drafting', region: 'region-1', repeatable: true, interTokenTargetMs: 52, dispatchers: 1,
			},
			{
				name: 'permits', kind: 'service', model: 'permits', region: 'region-1', repeatable: false, interTokenTargetMs: 52, dispatchers: 1,
			},
		],
		endpoints: [...engines, {
			id: 'permits-1', pool: 'permits', url: serviceUrl, dataCentre: 'dc-1', initialLimit: 16, leaving: false,
		}],
		bindings: ['sawmill', 'depot'].flatMap(account => [
			{account, pool: 'drafting', classes: classNames},
			{account, pool: 'permits', classes: ['gate']},
		]),
	};
}
