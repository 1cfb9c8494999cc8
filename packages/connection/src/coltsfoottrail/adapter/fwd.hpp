/// @file
/// Forward declarations of the adapter module.
#ifndef COLTSFOOTTRAIL_ADAPTER_FWD_HPP
#define COLTSFOOTTRAIL_ADAPTER_FWD_HPP

namespace coltsfoottrail {

class HttpLog;
class HttpEngines;
class HttpHostList;

} // namespace coltsfoottrail

#endif
