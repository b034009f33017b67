/**
 * @file error.h
 * Error returns. Functions that can fail return 0 or a negative code. With every code except
 * PW_EAGAIN they set the error message of the calling thread, unless their header says otherwise.
 */
#ifndef PW_CORE_ERROR_H
#define PW_CORE_ERROR_H

enum pw_error_code {
	PW_OK = 0,
	PW_EINVALID = -1,     /**< an argument or input is malformed */
	PW_ENOTFOUND = -2,    /**< the item does not exist */
	PW_EEXISTS = -3,      /**< the item exists already */
	PW_EUNAVAILABLE = -4, /**< an external system does not answer */
	PW_ECONFLICT = -5,    /**< a compare-and-swap found another value */
	PW_EOVERFLOW = -6,    /**< the input is larger than its limit */
	PW_ETIMEOUT = -7,     /**< a deadline passed */
	PW_ESYSTEM = -8,      /**< a system call or library call failed */
	PW_EAGAIN = -9,       /**< more input is needed, or the call would block */
	PW_EDENIED = -10,     /**< credentials are missing or wrong */
};

/**
 * Sets the message of the calling thread's last error.
 *
 * @param code   one of enum pw_error_code, returned as it is
 * @param format printf format of the message
 * @return code, so that a caller can write `return pw_error_set(...)`
 */
int pw_error_set(int code, const char *format, ...) __attribute__((format(printf, 2, 3)));

/** @return message of the calling thread's last error, or an empty string */
const char *pw_error_message(void);

#endif
