import {createRandom} from '@valvesaddle/random';
import type {Arrival} from './arrival.ts';
import type {LoadClass} from './load-class.ts';
import type {LoadPlan} from './load-plan.ts';

const fewestTokens = 4;
const mostTokens = 500;

/**
 Draws all arrivals of a load, in order: for each class a Poisson process whose rate follows its burst.

 @example
 planArrivals(plan).length; // about requestsPerSecond times the length
 */
export function planArrivals(plan: LoadPlan): readonly Arrival[] {
	const random = createRandom(plan.seed);
	const arrivals = plan.classes.flatMap(loadClass => planClass(plan, loadClass, random));
	return arrivals.toSorted((a, b) => a.at - b.at);
}

function planClass(plan: LoadPlan, loadClass: LoadClass, random: () => number): readonly Arrival[] {
	const perMs = (plan.requestsPerSecond * loadClass.part) / 1000;
	const highest = perMs * (loadClass.burst?.factor ?? 1);
	const arrivals: Arrival[] = [];
	for (let at = drawPause(highest, random); at < plan.lengthMs; at += drawPause(highest, random)) {
		// Thinning: candidates come at the highest rate and are kept by the rate at their time.
		if (random() * highest < perMs * getFactor(loadClass, at)) {
			arrivals.push({
				at, loadClass, account: drawAccount(plan, random), tokens: drawTokens(loadClass, random),
			});
		}
	}

	return arrivals;
}

function getFactor({burst}: LoadClass, at: number): number {
	return burst !== undefined && at >= burst.fromMs && at < burst.toMs ? burst.factor : 1;
}

function drawPause(perMs: number, random: () => number): number {
	return -Math.log(1 - random()) / perMs;
}

function drawTokens({meanTokens}: LoadClass, random: () => number): number {
	const drawn = Math.round(-Math.log(1 - random()) * meanTokens);
	return Math.min(mostTokens, Math.max(fewestTokens, drawn));
}

function drawAccount({accounts}: LoadPlan, random: () => number): LoadPlan['accounts'][number] {
	let left = random();
	for (const account of accounts) {
		left -= account.part;
		if (left < 0) {
			return account;
		}
	}

	return accounts.at(-1)!;
}
