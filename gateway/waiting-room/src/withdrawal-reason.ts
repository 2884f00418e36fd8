/**
Why a request no longer waits without having been sent: it could not be in time, the room was full, or no endpoint is left.
*/
export type WithdrawalReason = 'hopeless' | 'full' | 'no-endpoint';
