# coltsfoottrail_options(TARGET): the warnings and sanitizers that every target is built with.
function(coltsfoottrail_options TARGET)
  target_compile_options(${TARGET} PRIVATE -Wall -Wextra -Wpedantic -Wshadow=local -Werror
                         # g++ 12 takes the frames of Asio's coroutines for mismatched allocations.
                         $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>
                         # Under -O3 it takes "text" + std::to_string() for overlapping copies.
                         $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
  target_compile_definitions(${TARGET} PRIVATE BOOST_ASIO_NO_DEPRECATED COLTSFOOTTRAIL_VERSION="${PROJECT_VERSION}")
  if(COLTSFOOTTRAIL_SANITIZE)
    target_compile_options(${TARGET} PRIVATE -fsanitize=${COLTSFOOTTRAIL_SANITIZE} -fno-omit-frame-pointer
                           -Wno-maybe-uninitialized)
    target_link_options(${TARGET} PUBLIC -fsanitize=${COLTSFOOTTRAIL_SANITIZE})
  endif()
endfunction()

# coltsfoottrail_package(NAME DEPENDS targets...): one package of the workspace. Its sources are
# src/coltsfoottrail/<module>/*.cpp; each folder test/coltsfoottrail/<module>/ becomes the test program
# <package>_<module>_test, whose tests carry the label <module>.
function(coltsfoottrail_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS src/*.cpp)
  set(TARGET coltsfoottrail_${NAME})
  if(SOURCES)
    add_library(${TARGET} STATIC ${SOURCES})
    target_include_directories(${TARGET} PUBLIC src)
    target_link_libraries(${TARGET} PUBLIC ${ARG_DEPENDS})
    coltsfoottrail_options(${TARGET})
  else()
    add_library(${TARGET} INTERFACE)
    target_include_directories(${TARGET} INTERFACE src)
    target_link_libraries(${TARGET} INTERFACE ${ARG_DEPENDS})
  endif()
  if(NOT COLTSFOOTTRAIL_BUILD_TESTS)
    return()
  endif()
  find_package(GTest REQUIRED)
  include(GoogleTest)
  file(GLOB MODULES CONFIGURE_DEPENDS test/coltsfoottrail/*)
  foreach(MODULE_DIR ${MODULES})
    get_filename_component(MODULE ${MODULE_DIR} NAME)
    file(GLOB TESTS CONFIGURE_DEPENDS ${MODULE_DIR}/*.cpp)
    if(NOT TESTS)
      continue()
    endif()
    set(TEST_TARGET ${NAME}_${MODULE}_test)
    add_executable(${TEST_TARGET} ${TESTS})
    target_include_directories(${TEST_TARGET} PRIVATE test)
    target_link_libraries(${TEST_TARGET} PRIVATE ${TARGET} ${ARG_TEST_DEPENDS} GTest::gmock GTest::gtest_main rapidcheck)
    coltsfoottrail_options(${TEST_TARGET})
    gtest_discover_tests(${TEST_TARGET} DISCOVERY_MODE PRE_TEST PROPERTIES LABELS "${MODULE}" TIMEOUT 240)
  endforeach()
endfunction()
