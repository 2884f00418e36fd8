import type {FakeServer} from '@valvesaddle/fake-http';
import type {DutyFault} from './duty-fault.ts';
import type {FakeDutyCall} from './fake-duty-call.ts';

/**
A stand-in for the platform's API of duties.
*/
export type FakeDutyApi = FakeServer & {
	readonly calls: () => readonly FakeDutyCall[];
	readonly setFault: (fault: DutyFault | undefined) => void;
	/**
	Carries out what came while the fault was `late`.
	*/
	readonly answerLate: () => void;
};
