import type {Dispatcher} from 'undici';
import {ValvesaddleError} from '@valvesaddle/error';

type SilenceTimerOptions = {
	readonly response: Dispatcher.ResponseData;
	/**
	Time left for the first event, in milliseconds. Engines that queue a request may send their headers before it runs.
	*/
	readonly firstTokenMs: number;
	/**
	Longest time between two chunks after the first event, in milliseconds.
	*/
	readonly pauseMs: number;
};

type SilenceTimer = {
	/**
	Records a chunk of the answer.

	@param hasEvent - Whether it holds an event; chunks that only keep the connection alive do not count as an answer.
	*/
	readonly restart: (hasEvent: boolean) => void;
	readonly close: () => void;
};

/**
 Starts the timer that ends an answer with `ERR_VALVESADDLE_ENDPOINT_FAILED` when its engine is silent for too long.

 @example
 const silence = startSilenceTimer({response, firstTokenMs: 60_000, pauseMs: 10_000});
 silence.restart(true);
 */
export function startSilenceTimer({response, firstTokenMs, pauseMs}: SilenceTimerOptions): SilenceTimer {
	let hasBegun = false;

	function fail(): void {
		response.body.destroy(new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', 'the engine was silent for too long'));
	}

	let timer = setTimeout(fail, firstTokenMs);

	return {
		restart(hasEvent) {
			if (hasBegun) {
				timer.refresh();
			} else if (hasEvent) {
				hasBegun = true;
				clearTimeout(timer);
				timer = setTimeout(fail, pauseMs);
			}
		},
		close() {
			clearTimeout(timer);
		},
	};
}
