export type {AccountView} from './account-view.ts';
export {addVirtualTokens} from './add-virtual-tokens.ts';
export {chooseAccount} from './choose-account.ts';
export type {ClassDemand} from './class-demand.ts';
export {findMinimumTokens} from './find-minimum-tokens.ts';
export {planClassShares} from './plan-class-shares.ts';
export {planShares} from './plan-shares.ts';
export type {ShareDemand} from './share-demand.ts';
