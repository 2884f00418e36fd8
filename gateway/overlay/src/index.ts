export {chooseParent} from './choose-parent.ts';
export type {Overlay} from './overlay.ts';
export {planOverlay} from './plan-overlay.ts';
