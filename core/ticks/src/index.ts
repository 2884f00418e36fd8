export {measureTick} from './measure-tick.ts';
