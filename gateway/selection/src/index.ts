export {createSelector} from './create-selector.ts';
export type {EndpointLoad} from './endpoint-load.ts';
export type {LoadNews} from './load-news.ts';
export type {OpenWork} from './open-work.ts';
export type {Placement} from './placement.ts';
export type {Selection} from './selection.ts';
export type {SelectionQuestion} from './selection-question.ts';
export type {Selector} from './selector.ts';
export type {SelectorOptions} from './selector-options.ts';
